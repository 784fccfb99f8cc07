// What this daemon may use of the limits of accounts: a share and a token
// bucket for each account, and the demand that it reports.
//
// A bucket is refilled by the share of the rate and holds at most the share of
// the burst and the extra capacity of its grant. When the time of a grant is
// over, the bucket is empty and stays empty.
#ifndef EELGRASSBRIDGE_LIMITS_QUOTA_SHARE_HPP
#define EELGRASSBRIDGE_LIMITS_QUOTA_SHARE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/limits/quota_ledger.hpp"

namespace eelgrassbridge::limits {

namespace detail {

/// Request rate, measured over a short and a long time.
struct DemandMeter {
  double fast = 0;
  double slow = 0;
  base::TimePoint updated_at{};
};

void Record(DemandMeter& meter, base::TimePoint now);

/// Requests per second; zero if there have been none for a while.
double RateOf(const DemandMeter& meter, base::TimePoint now);

}  // namespace detail

/// @brief State of one account on this daemon.
///
/// Invariant: `tokens` is at most the capacity under `limit`.
struct AccountQuota {
  QuotaLimit limit;
  std::uint32_t share = 0;
  double extra = 0;
  double tokens = 0;
  /// Refilled tokens that found no room since the last report.
  double spare = 0;
  base::TimePoint refilled_at{};
  /// End of the right to use the share and the tokens.
  base::TimePoint until{};
  /// When the coordinator's pool has a token, as far as this daemon knows.
  base::TimePoint next_token_at{};
  /// Requests that wait for a token.
  std::uint32_t waiting = 0;
  detail::DemandMeter demand;
};

/// @brief What this daemon may use, and its reports.
///
/// Invariant: at most one report is on the way.
struct QuotaShares {
  std::map<std::string, AccountQuota, std::less<>> accounts;
  /// Tenure of the coordinator that reports go to.
  std::uint64_t tenure = 0;
  /// Tenure in which a report was last accepted.
  std::uint64_t accepted_tenure = 0;
  std::uint64_t sequence = 0;
  QuotaOptions options;
  base::TimePoint sent_at{};
  base::Duration interval{base::seconds{1}};
  base::Duration ask_interval{base::milliseconds{100}};
};

/// @brief Records a request of the account as demand, whatever becomes of it.
void RecordQuotaDemand(QuotaShares& shares,
                       std::string_view account,
                       const QuotaLimit& limit,
                       base::TimePoint now);

/// @brief Takes one token for a request. Returns false if there is none.
bool TryTake(QuotaShares& shares,
             std::string_view account,
             const QuotaLimit& limit,
             base::TimePoint now);

/// @brief Returns the token of a request that has not run.
void GiveBack(QuotaShares& shares,
              std::string_view account,
              base::TimePoint now);

/// @brief Time until the bucket has a token for one more request than those
/// that wait, from its share or from the coordinator's pool. At least a
/// millisecond.
base::Duration RetryAfter(const QuotaShares& shares,
                          std::string_view account,
                          base::TimePoint now);

/// @brief Time until the share alone refills the bucket for one request behind
/// `ahead` others; Duration::max() if it does not.
base::Duration TimeToToken(const QuotaShares& shares,
                           std::string_view account,
                           std::uint32_t ahead,
                           base::TimePoint now);

/// @brief Whether the coordinator's pool may have a token by that time.
bool MayAskForToken(const QuotaShares& shares,
                    std::string_view account,
                    base::TimePoint by);

/// @brief Requests per second of the account at this daemon, including refused
/// ones.
double Demand(const QuotaShares& shares,
              std::string_view account,
              base::TimePoint now);

/// @brief Whether there is demand or a share to report, or the tenure has not
/// had a report of this daemon.
bool HasReport(const QuotaShares& shares, base::TimePoint now);

/// @brief Applies the limits in force. Accounts without a limit are removed,
/// and lowered limits clip the buckets.
void ApplyLimits(QuotaShares& shares,
                 const QuotaLimits& limits,
                 base::TimePoint now);

/// @brief The report to send now; the caller adds the daemon and the process.
/// The answer to an earlier one is no longer applied.
QuotaReport MakeQuotaReport(QuotaShares& shares, base::TimePoint now);

/// @brief Applies the answer to the report with this sequence number.
/// @return False if a later report was sent meanwhile, so nothing was applied.
bool ApplyQuotaAnswer(QuotaShares& shares,
                      std::uint64_t sequence,
                      const QuotaAnswer& answer,
                      base::TimePoint now);

/// @brief Number of accounts of which this daemon holds a share.
std::size_t HeldAccounts(const QuotaShares& shares, base::TimePoint now);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_QUOTA_SHARE_HPP
