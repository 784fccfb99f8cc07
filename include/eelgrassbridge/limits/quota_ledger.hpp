// Decisions of the quota coordinator: how much of each account's limit each
// daemon may use.
//
// Safety: tokens exist only in the buckets of the daemons and in the pool of
// the coordinator. All shares that a daemon may hold, and the part that refills
// the pool, add up to at most the whole limit, and all capacities add up to at
// most the burst and the slack. So a window never sees more requests than the
// burst, the slack and what the rate refills, whatever is lost or delayed. The
// coordinator counts as held what it granted or what was reported, whichever is
// larger, until the daemon reports less or its right has expired.
//
// At least kPoolShare of a limit is never granted as a share. A new
// coordinator, which does not know yet who holds shares, can therefore refill
// its pool by that part from the beginning.
#ifndef EELGRASSBRIDGE_LIMITS_QUOTA_LEDGER_HPP
#define EELGRASSBRIDGE_LIMITS_QUOTA_LEDGER_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

/// @brief Limit of one account over all daemons.
struct QuotaLimit {
  /// Requests per second, above zero.
  double rate = 0;
  double burst = 0;

  bool operator==(const QuotaLimit&) const = default;
};

/// @brief Limits of the accounts that have one, by account.
using QuotaLimits = std::map<std::string, QuotaLimit, std::less<>>;

/// @brief Shares are in millionths of a limit.
inline constexpr std::uint32_t kWholeShare = 1'000'000;
/// @brief Part of a limit that always refills the coordinator's pool.
inline constexpr std::uint32_t kPoolShare = kWholeShare / 10;
inline constexpr std::uint32_t kMaxHeldShare = kWholeShare - kPoolShare;

/// @brief Parameters that all daemons of a deployment share.
struct QuotaOptions {
  /// Capacity of all buckets of an account beyond its burst, in requests. Less
  /// than the tolerance of the bound: the rest covers requests that took their
  /// token in one window and reach a target in the next one.
  double slack = 13;
  /// Most tokens of an account that are on their way back to the pool.
  double spare = 3;
  /// Time for which a share may be used, from when its report was sent. Covers
  /// the loss of a coordinator and an outage of the store.
  base::Duration validity{base::seconds{20}};
  /// The same for tokens of a daemon without a share. The pool of a new
  /// coordinator begins to refill only after this time, so no list has to name
  /// the daemons that have such tokens.
  base::Duration loan{base::seconds{1}};
  /// Added by the coordinator to the time for which a daemon may use a grant,
  /// for clocks that run at different speeds.
  base::Duration margin{base::milliseconds{500}};
};

/// @brief What a daemon reports of one account.
struct QuotaDemand {
  std::string account;
  /// Requests per second, including refused ones.
  double demand = 0;
  /// Share held, in millionths of the limit.
  std::uint32_t share = 0;
  /// Capacity of the bucket beyond the share of the burst.
  double extra = 0;
  /// Content of the bucket.
  double tokens = 0;
  /// Further tokens that waiting requests need.
  double needed = 0;
  /// Further tokens that would be of use until the next report.
  double wanted = 0;
  /// Tokens that go back to the pool: those that came from the share and found
  /// no room in the bucket since the last report, or unused ones of a loan.
  double spare = 0;
  /// Time for which the daemon may still use the share and the tokens.
  base::Duration left{};
};

/// @brief Report of a daemon. It has at most one report on the way, and never
/// applies the answer to an earlier one.
struct QuotaReport {
  std::string daemon;
  /// Random id of the daemon's process.
  std::string process;
  /// Tenure of the coordinator that the report is for. A late report for a
  /// former tenure of the same daemon must not be taken for a present one.
  std::uint64_t tenure = 0;
  /// Increases with each report of the process.
  std::uint64_t sequence = 0;
  std::vector<QuotaDemand> accounts;
};

/// @brief What a daemon may use of an account's limit from now on.
struct QuotaGrant {
  std::string account;
  std::uint32_t share = 0;
  double extra = 0;
  /// Tokens added to the bucket.
  double tokens = 0;
  /// Counted from when the report was sent.
  base::Duration valid{};
  /// Time until the pool has a token again; zero if it has one.
  base::Duration next_token{};
};

struct QuotaAnswer {
  std::uint64_t tenure = 0;
  /// Time until the next regular report.
  base::Duration interval{};
  /// Shortest time between reports that ask for tokens.
  base::Duration ask_interval{};
  std::vector<QuotaGrant> grants;
};

enum class QuotaVerdict : std::uint8_t {
  kAccepted,
  /// For another tenure; the answer tells the present one.
  kOtherTenure,
  /// Older than a report that was accepted, or of an earlier process.
  kStale,
};

/// @brief What one daemon may hold of one account.
struct QuotaHolder {
  std::uint32_t share = 0;
  double extra = 0;
  base::TimePoint until{};
  double demand = 0;
  base::TimePoint heard_at{};
};

/// @brief State of one account.
///
/// Invariant: `held` is the sum of the holders' shares, and at most
/// kMaxHeldShare; `held_extra` is the sum of `extra` over holders with a share,
/// `loaned` over the others.
struct AccountLedger {
  QuotaLimit limit;
  std::map<std::string, QuotaHolder, std::less<>> holders;
  std::uint32_t held = 0;
  double held_extra = 0;
  double loaned = 0;
  double total_demand = 0;
  /// Number of holders with demand.
  std::uint32_t demanding = 0;
  /// When the sums were last recomputed without rights that are over.
  base::TimePoint summed_at{};
  /// Tokens in the pool.
  double pool = 0;
  base::TimePoint refilled_at{};
};

/// @brief The last accepted report of a daemon.
struct QuotaReporter {
  std::string process;
  std::uint64_t sequence = 0;
  base::TimePoint heard_at{};
  /// Earlier processes at this address, whose late reports are ignored.
  std::set<std::string, std::less<>> former;
};

/// @brief State of the coordinator during one tenure.
struct QuotaLedger {
  QuotaOptions options;
  std::uint64_t tenure = 0;
  base::TimePoint began_at{};
  /// From then on all holders are known: each one that the row lists has
  /// reported, or its right has expired.
  base::TimePoint settled_at{};
  /// Daemons of the row that have not reported in this tenure.
  std::set<std::string, std::less<>> unheard;
  /// Daemons that the confirmed row lists, so they may get a share.
  std::set<std::string, std::less<>> listed;
  /// Daemons that have demand and are not listed yet.
  std::set<std::string, std::less<>> unlisted;
  std::map<std::string, QuotaReporter, std::less<>> reporters;
  std::map<std::string, AccountLedger, std::less<>> accounts;
};

/// @brief How a tenure begins.
struct QuotaTakeOver {
  std::uint64_t tenure = 1;
  /// Daemons that the row lists.
  std::set<std::string, std::less<>> listed;
  /// No daemon has ever held a share.
  bool first = false;
  /// Time for which a coordinator of a former era of the store may still grant.
  base::Duration overlap{};
};

/// @brief State at the beginning of a tenure.
QuotaLedger BeginTenure(QuotaTakeOver take_over,
                        const QuotaOptions& options,
                        base::TimePoint now);

/// @brief Processes a report that arrived at `now`.
QuotaVerdict ApplyQuotaReport(QuotaLedger& ledger,
                              const QuotaLimits& limits,
                              const QuotaReport& report,
                              base::TimePoint now,
                              QuotaAnswer& answer);

/// @brief The daemons that the next row is to list. Those without shares that
/// have been silent for long are no longer listed, and get no share from now
/// on.
std::set<std::string, std::less<>> ListForRow(QuotaLedger& ledger,
                                              base::TimePoint now);

/// @brief Records that a row with this list was written.
void ConfirmList(QuotaLedger& ledger,
                 const std::set<std::string, std::less<>>& listed);

/// @brief Whether all holders of shares are known.
inline bool IsSettled(const QuotaLedger& ledger, base::TimePoint now) {
  return now >= ledger.settled_at;
}

namespace detail {

inline double FractionOf(std::uint32_t share) {
  return static_cast<double>(share) / kWholeShare;
}

/// Slack that the buckets of daemons with shares may use together; the pool and
/// loans have the rest.
double HolderSlack(const QuotaOptions& options);

/// Share for a daemon with that demand.
/// @param total Demand of all daemons.
std::uint32_t TargetShare(double demand, double total, double rate);

}  // namespace detail

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_QUOTA_LEDGER_HPP
