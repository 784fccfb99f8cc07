// Division of limits by demand, and the answers to reports.
#include "eelgrassbridge/limits/quota_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "eelgrassbridge/limits/quota_pool.hpp"

namespace eelgrassbridge::limits {

namespace {

using base::Duration;
using base::TimePoint;
using detail::Count;
using detail::Discount;
using detail::FractionOf;
using detail::PoolOf;
using detail::Refill;
using detail::SumHolders;
using detail::TakeFromPool;

/// Part of the limit that nobody asks for that stays in the pool, from which
/// any daemon can get tokens; the rest is headroom of the holders.
constexpr double kPooledSurplus = 0.25;
/// A holder gets at most this multiple of its demand.
constexpr double kMaxHeadroom = 2;
/// Changes of a share by a smaller part are not made.
constexpr double kMinChange = 0.1;
/// Interval at which rights that are over are looked for. Until then they
/// count, which is safe; to look at each report takes time linear in the
/// daemons.
constexpr Duration kSumInterval = base::milliseconds{250};
/// A daemon that has reported nothing for this long is no longer listed.
constexpr Duration kListedAge = base::seconds{60};
constexpr Duration kMinInterval = base::seconds{1};
/// Each reporter adds this to the interval, so that at most 100 regular reports
/// arrive in a second.
constexpr Duration kIntervalPerReporter = base::milliseconds{10};
constexpr Duration kMinAskInterval = base::milliseconds{100};
/// The same for reports that ask for tokens. With 80 reporters, a request that
/// waits 300 ms can still ask once whenever it arrives.
constexpr Duration kAskIntervalPerReporter = base::microseconds{1500};
/// Reporters that were heard within this time count for the intervals.
constexpr Duration kReporterAge = base::seconds{10};
/// Earlier processes of a daemon that are remembered in one tenure. Their late
/// reports arrive within seconds, and a daemon restarts less often than that.
constexpr std::size_t kMaxFormerProcesses = 64;

AccountLedger& AccountOf(QuotaLedger& ledger,
                         const std::string& name,
                         const QuotaLimit& limit,
                         TimePoint now) {
  auto [found, is_new] = ledger.accounts.try_emplace(name);
  AccountLedger& account = found->second;
  if (is_new) {
    account.limit = limit;
    account.refilled_at = ledger.began_at;
  }
  // What was refilled so far was refilled by the former limit and shares.
  Refill(ledger, account, now);
  account.limit = limit;
  if (now >= account.summed_at + kSumInterval) {
    SumHolders(account, now);
  }
  return account;
}

/// Share to grant to a holder, whose reported share is in `own` and counted.
std::uint32_t ChooseShare(const AccountLedger& account,
                          const QuotaHolder& own,
                          bool may_grow) {
  const std::uint32_t target =
      detail::TargetShare(own.demand, account.total_demand, account.limit.rate);
  const auto difference =
      std::abs(static_cast<double>(target) - static_cast<double>(own.share));
  if (difference < kMinChange * own.share) {
    return own.share;
  }
  if (target <= own.share) {
    return target;
  }
  const std::uint32_t free =
      account.held < kMaxHeldShare ? kMaxHeldShare - account.held : 0;
  return may_grow ? std::min(target, own.share + free) : own.share;
}

/// Capacity beyond the share of the burst. Negative if there is not enough for
/// a bucket that holds one token.
double ChooseExtra(const QuotaLedger& ledger,
                   const AccountLedger& account,
                   const QuotaHolder& own,
                   std::uint32_t share) {
  const double of_burst = FractionOf(share) * account.limit.burst;
  const double least = std::max(0.0, 1 - of_burst);
  // A stock for the requests of about one second and their variation.
  const double useful = 2 + own.demand + std::sqrt(own.demand);
  const double slack = detail::HolderSlack(ledger.options);
  const double even = slack / std::max(1U, account.demanding);
  const double others = account.held_extra - (own.share > 0 ? own.extra : 0);
  const double extra =
      std::max(least, std::min(std::max(0.0, useful - of_burst), even));
  const double kept = own.share > 0 ? own.extra : 0;
  const double available = std::max(slack - others, kept);
  return least > available ? -1 : std::min(extra, available);
}

/// Adds tokens of the pool to a grant, with the capacity that they need.
void AddTokens(AccountLedger& account,
               const QuotaHolder& holder,
               const QuotaDemand& reported,
               QuotaGrant& grant) {
  const double former =
      FractionOf(holder.share) * account.limit.burst + holder.extra;
  const double content = std::clamp(reported.tokens, 0.0, former);
  grant.tokens = TakeFromPool(account, reported);
  const double of_burst = FractionOf(grant.share) * account.limit.burst;
  if (grant.share == 0) {
    // Nothing refills the bucket, so it needs no room.
    grant.extra = content + grant.tokens;
  } else if (grant.tokens > 0) {
    const double kept = std::min(content, of_burst + grant.extra);
    grant.extra = std::max(grant.extra, kept + grant.tokens - of_burst);
  }
}

/// Decides the grant for one account of a report, and counts it.
QuotaGrant Decide(QuotaLedger& ledger,
                  AccountLedger& account,
                  const std::string& daemon,
                  const QuotaDemand& reported,
                  TimePoint now) {
  const QuotaOptions& options = ledger.options;
  QuotaHolder& holder = account.holders[daemon];
  // A loan counts against the pool's capacity until its daemon reports less, so
  // it can be returned as a whole.
  const double loan =
      holder.share == 0 && now < holder.until ? holder.extra : 0;
  Discount(account, holder);
  // Answers to earlier reports are never applied, so the daemon holds exactly
  // what it reports.
  holder = {std::min(reported.share, kWholeShare),
            std::max(0.0, reported.extra),
            now + std::min(reported.left, options.validity) + options.margin,
            std::max(0.0, reported.demand), now};
  Count(account, holder);
  const double most_spare =
      holder.share == 0 ? loan : FractionOf(holder.share) * options.spare;
  account.pool += std::clamp(reported.spare, 0.0, most_spare);
  // Reported capacity that the pool did not know of makes the pool smaller.
  Refill(ledger, account, now);
  QuotaGrant grant;
  grant.account = reported.account;
  const bool settled = IsSettled(ledger, now);
  grant.share = holder.share;
  grant.extra = holder.share > 0 ? holder.extra : 0;
  if (settled) {
    grant.share = ChooseShare(account, holder, ledger.listed.contains(daemon));
    grant.extra =
        grant.share > 0 ? ChooseExtra(ledger, account, holder, grant.share) : 0;
    if (grant.extra < 0) {
      grant.share = 0;
      grant.extra = 0;
    }
  }
  AddTokens(account, holder, reported, grant);
  grant.valid = grant.share > 0 ? options.validity : options.loan;
  Discount(account, holder);
  holder.share = std::max(holder.share, grant.share);
  holder.extra = std::max(holder.extra, grant.extra);
  holder.until = std::max(holder.until, now + grant.valid + options.margin);
  Count(account, holder);
  Refill(ledger, account, now);
  const double rate = PoolOf(ledger, account, settled).rate;
  if (account.pool < 1 && rate > 0) {
    grant.next_token = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>((1 - account.pool) / rate));
  }
  return grant;
}

/// Whether the report is the newest of its daemon; if so, it becomes the last
/// one.
bool AcceptReporter(QuotaLedger& ledger,
                    const QuotaReport& report,
                    TimePoint now) {
  QuotaReporter& reporter = ledger.reporters[report.daemon];
  if (reporter.former.contains(report.process) ||
      (reporter.process == report.process &&
       report.sequence <= reporter.sequence)) {
    return false;
  }
  if (!reporter.process.empty() && reporter.process != report.process) {
    if (reporter.former.size() >= kMaxFormerProcesses) {
      reporter.former.clear();
    }
    reporter.former.insert(reporter.process);
  }
  reporter.process = report.process;
  reporter.sequence = report.sequence;
  reporter.heard_at = now;
  return true;
}

/// Removes what the daemon no longer reports: it holds nothing of it.
void DropUnreported(QuotaLedger& ledger,
                    const QuotaReport& report,
                    TimePoint now) {
  for (auto& [name, account] : ledger.accounts) {
    const bool reported =
        std::ranges::find(report.accounts, name, &QuotaDemand::account) !=
        report.accounts.end();
    const auto holder = account.holders.find(report.daemon);
    if (!reported && holder != account.holders.end()) {
      Refill(ledger, account, now);
      Discount(account, holder->second);
      account.holders.erase(holder);
    }
  }
}

void SetIntervals(QuotaLedger& ledger, TimePoint now, QuotaAnswer& answer) {
  const auto reporters =
      std::ranges::count_if(ledger.reporters, [now](const auto& item) {
        return now < item.second.heard_at + kReporterAge;
      });
  answer.interval = std::max(kMinInterval, kIntervalPerReporter * reporters);
  answer.ask_interval =
      std::max(kMinAskInterval, kAskIntervalPerReporter * reporters);
}

}  // namespace

namespace detail {

std::uint32_t TargetShare(double demand, double total, double rate) {
  if (demand <= 0 || rate <= 0 || total <= 0) {
    return 0;
  }
  const double holdable = FractionOf(kMaxHeldShare);
  double part = holdable * demand / total;
  if (total < holdable * rate) {
    const double surplus = rate - total;
    const double pooled =
        std::max(FractionOf(kPoolShare) * rate, surplus * kPooledSurplus);
    const double factor = (rate - pooled) / total;
    part = demand / rate * std::min(factor, kMaxHeadroom);
  }
  // Rounded down, so that the sum is at most what can be held.
  return static_cast<std::uint32_t>(std::min(part, holdable) * kWholeShare);
}

}  // namespace detail

QuotaLedger BeginTenure(QuotaTakeOver take_over,
                        const QuotaOptions& options,
                        TimePoint now) {
  QuotaLedger ledger;
  ledger.options = options;
  ledger.tenure = take_over.tenure;
  ledger.unheard = take_over.listed;
  ledger.listed = std::move(take_over.listed);
  now += take_over.overlap;
  ledger.began_at = now + options.loan + options.margin;
  ledger.settled_at = now + options.validity + options.margin;
  if (take_over.first) {
    // No bucket has a token yet, so the pool of each account may be full.
    constexpr Duration kFillTime = base::seconds{3600};
    ledger.settled_at = now - kFillTime;
    ledger.began_at = ledger.settled_at;
  }
  return ledger;
}

QuotaVerdict ApplyQuotaReport(QuotaLedger& ledger,
                              const QuotaLimits& limits,
                              const QuotaReport& report,
                              TimePoint now,
                              QuotaAnswer& answer) {
  answer = {};
  answer.tenure = ledger.tenure;
  if (report.tenure != ledger.tenure) {
    return QuotaVerdict::kOtherTenure;
  }
  if (!AcceptReporter(ledger, report, now)) {
    return QuotaVerdict::kStale;
  }
  DropUnreported(ledger, report, now);
  for (const QuotaDemand& demand : report.accounts) {
    const auto limit = limits.find(demand.account);
    if (limit == limits.end()) {
      continue;
    }
    AccountLedger& account =
        AccountOf(ledger, demand.account, limit->second, now);
    answer.grants.push_back(
        Decide(ledger, account, report.daemon, demand, now));
    if (demand.demand > 0 && !ledger.listed.contains(report.daemon)) {
      ledger.unlisted.insert(report.daemon);
    }
  }
  if (ledger.unheard.erase(report.daemon) > 0 && ledger.unheard.empty()) {
    // Accounts that have not been reported yet refill by the former part until
    // now.
    ledger.settled_at = std::min(ledger.settled_at, now);
  }
  SetIntervals(ledger, now, answer);
  return QuotaVerdict::kAccepted;
}

std::set<std::string, std::less<>> ListForRow(QuotaLedger& ledger,
                                              TimePoint now) {
  if (IsSettled(ledger, now)) {
    std::erase_if(ledger.listed, [&ledger, now](const std::string& daemon) {
      const auto reporter = ledger.reporters.find(daemon);
      return now >= ledger.began_at + kListedAge &&
             (reporter == ledger.reporters.end() ||
              now >= reporter->second.heard_at + kListedAge);
    });
  }
  auto listed = ledger.listed;
  listed.insert(ledger.unlisted.begin(), ledger.unlisted.end());
  return listed;
}

void ConfirmList(QuotaLedger& ledger,
                 const std::set<std::string, std::less<>>& listed) {
  ledger.listed = listed;
  std::erase_if(ledger.unlisted, [&listed](const std::string& daemon) {
    return listed.contains(daemon);
  });
}

}  // namespace eelgrassbridge::limits
