// Token buckets, demand, and the reports of a daemon.
#include "eelgrassbridge/limits/quota_share.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

namespace {

using base::Duration;
using base::TimePoint;
using detail::FractionOf;

/// Time constants of the demand. The long one averages over the pauses between
/// the requests of a small account; the short one follows traffic that moves
/// here.
constexpr double kFastSeconds = 2;
constexpr double kSlowSeconds = 10;
/// Without requests for this long, the pauses are not those of a steady caller,
/// and the demand is no longer reported.
constexpr Duration kDemandEnds = base::seconds{30};
/// Bound on the interval that an answer can set.
constexpr Duration kMinInterval = base::milliseconds{50};
constexpr Duration kMinRetryAfter = base::milliseconds{1};
/// Retry-After if neither the own share nor the pool can be expected to give a
/// token: about the time between reports.
constexpr Duration kUnknownRetryAfter = base::seconds{1};
/// The rounding of many small refills must not delay a whole token.
constexpr double kOneToken = 1 - 1e-6;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration ToDuration(double seconds) {
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongest)));
}

double RefillRate(const AccountQuota& quota) {
  return FractionOf(quota.share) * quota.limit.rate;
}

double Capacity(const AccountQuota& quota) {
  return FractionOf(quota.share) * quota.limit.burst + quota.extra;
}

void Clip(AccountQuota& quota) {
  quota.tokens = std::min(quota.tokens, Capacity(quota));
}

/// Refills the bucket until now, or empties it if the right has ended.
void Advance(AccountQuota& quota, TimePoint now) {
  if (now >= quota.until) {
    quota.share = 0;
    quota.extra = 0;
    quota.tokens = 0;
    quota.spare = 0;
  }
  const Duration passed = now - quota.refilled_at;
  if (passed.count() > 0) {
    const double refill = RefillRate(quota) * Seconds(passed);
    const double room = std::max(0.0, Capacity(quota) - quota.tokens);
    quota.tokens += std::min(refill, room);
    quota.spare += std::max(0.0, refill - room);
    quota.refilled_at = now;
  }
  Clip(quota);
}

const AccountQuota* Find(const QuotaShares& shares, std::string_view account) {
  const auto found = shares.accounts.find(account);
  return found == shares.accounts.end() ? nullptr : &found->second;
}

AccountQuota& Get(QuotaShares& shares,
                  std::string_view account,
                  const QuotaLimit& limit,
                  TimePoint now) {
  auto found = shares.accounts.find(account);
  if (found == shares.accounts.end()) {
    found = shares.accounts.emplace(account, AccountQuota{}).first;
    found->second.refilled_at = now;
  }
  AccountQuota& quota = found->second;
  Advance(quota, now);
  quota.limit = limit;
  Clip(quota);
  return quota;
}

bool HoldsAny(const AccountQuota& quota, TimePoint now) {
  return now < quota.until && (quota.share > 0 || quota.tokens > 0);
}

/// Tokens that would be of use until the next report, as a stock that saves the
/// next requests a round trip to the coordinator. Without a share, it could not
/// be kept that long.
double UsefulStock(const AccountQuota& quota,
                   double demand,
                   Duration interval) {
  if (quota.share == 0) {
    return 0;
  }
  const double expected = demand * Seconds(interval);
  return std::min(1 + expected + std::sqrt(expected), Capacity(quota));
}

/// Reports an account, and hands the spare tokens to the coordinator.
QuotaDemand ReportAccount(const std::string& account,
                          AccountQuota& quota,
                          double demand,
                          const QuotaShares& shares,
                          TimePoint now) {
  if (quota.share == 0) {
    // Nothing refills this bucket, so its room is of no use, and tokens that no
    // request waits for serve other daemons. Most came too late for a request.
    const double unused = std::max(0.0, quota.tokens - quota.waiting);
    quota.tokens -= unused;
    quota.extra = quota.tokens;
    quota.spare = unused;
  }
  QuotaDemand report;
  report.account = account;
  report.demand = demand;
  report.share = quota.share;
  report.extra = quota.extra;
  report.tokens = quota.tokens;
  report.needed = std::max(0.0, quota.waiting - quota.tokens);
  report.wanted = std::max(0.0, UsefulStock(quota, demand, shares.interval) -
                                    quota.tokens - report.needed);
  report.spare = quota.share == 0
                     ? quota.spare
                     : std::min(quota.spare,
                                FractionOf(quota.share) * shares.options.spare);
  quota.spare = 0;
  report.left = std::max(Duration{0}, quota.until - now);
  return report;
}

}  // namespace

namespace detail {

void Record(DemandMeter& meter, TimePoint now) {
  const double passed = Seconds(now - meter.updated_at);
  meter.fast = meter.fast * std::exp(-passed / kFastSeconds) + 1 / kFastSeconds;
  meter.slow = meter.slow * std::exp(-passed / kSlowSeconds) + 1 / kSlowSeconds;
  meter.updated_at = now;
}

double RateOf(const DemandMeter& meter, TimePoint now) {
  const Duration passed = now - meter.updated_at;
  if (passed >= kDemandEnds) {
    return 0;
  }
  const double fast = meter.fast * std::exp(-Seconds(passed) / kFastSeconds);
  const double slow = meter.slow * std::exp(-Seconds(passed) / kSlowSeconds);
  // Less what chance alone adds to a short measurement.
  const double sure = fast - 2 * std::sqrt(fast / kFastSeconds);
  return std::max(slow, sure);
}

}  // namespace detail

void RecordQuotaDemand(QuotaShares& shares,
                       std::string_view account,
                       const QuotaLimit& limit,
                       TimePoint now) {
  detail::Record(Get(shares, account, limit, now).demand, now);
}

bool TryTake(QuotaShares& shares,
             std::string_view account,
             const QuotaLimit& limit,
             TimePoint now) {
  AccountQuota& quota = Get(shares, account, limit, now);
  if (quota.tokens < kOneToken) {
    return false;
  }
  quota.tokens = std::max(0.0, quota.tokens - 1);
  return true;
}

void GiveBack(QuotaShares& shares, std::string_view account, TimePoint now) {
  const auto found = shares.accounts.find(account);
  if (found == shares.accounts.end()) {
    return;
  }
  Advance(found->second, now);
  found->second.tokens =
      std::min(found->second.tokens + 1, Capacity(found->second));
}

Duration TimeToToken(const QuotaShares& shares,
                     std::string_view account,
                     std::uint32_t ahead,
                     TimePoint now) {
  const AccountQuota* const found = Find(shares, account);
  if (found == nullptr) {
    return Duration::max();
  }
  AccountQuota quota = *found;
  Advance(quota, now);
  const double needed = std::max(0.0, ahead + kOneToken - quota.tokens);
  if (needed <= 0) {
    return Duration{0};
  }
  const double rate = RefillRate(quota);
  if (rate <= 0 || Capacity(quota) < kOneToken) {
    return Duration::max();
  }
  const Duration time = ToDuration(needed / rate) + Duration{1};
  return now + time < quota.until ? time : Duration::max();
}

Duration RetryAfter(const QuotaShares& shares,
                    std::string_view account,
                    TimePoint now) {
  const AccountQuota* const quota = Find(shares, account);
  Duration time =
      TimeToToken(shares, account, quota == nullptr ? 0 : quota->waiting, now);
  if (quota != nullptr && quota->next_token_at > now) {
    time = std::min(time, quota->next_token_at - now);
  }
  if (time == Duration::max()) {
    time = kUnknownRetryAfter;
  }
  return std::max(time, kMinRetryAfter);
}

bool MayAskForToken(const QuotaShares& shares,
                    std::string_view account,
                    TimePoint by) {
  const AccountQuota* const quota = Find(shares, account);
  return quota == nullptr || quota->next_token_at <= by;
}

double Demand(const QuotaShares& shares,
              std::string_view account,
              TimePoint now) {
  const AccountQuota* const quota = Find(shares, account);
  return quota == nullptr ? 0 : detail::RateOf(quota->demand, now);
}

bool HasReport(const QuotaShares& shares, TimePoint now) {
  return shares.accepted_tenure != shares.tenure ||
         std::ranges::any_of(shares.accounts, [now](const auto& item) {
           return HoldsAny(item.second, now) ||
                  detail::RateOf(item.second.demand, now) > 0;
         });
}

void ApplyLimits(QuotaShares& shares,
                 const QuotaLimits& limits,
                 TimePoint now) {
  std::erase_if(shares.accounts, [&limits](const auto& item) {
    return !limits.contains(item.first);
  });
  for (auto& [account, quota] : shares.accounts) {
    Advance(quota, now);
    quota.limit = limits.find(account)->second;
    Clip(quota);
  }
}

QuotaReport MakeQuotaReport(QuotaShares& shares, TimePoint now) {
  QuotaReport report;
  report.tenure = shares.tenure;
  report.sequence = ++shares.sequence;
  shares.sent_at = now;
  for (auto& [account, quota] : shares.accounts) {
    Advance(quota, now);
    const double demand = detail::RateOf(quota.demand, now);
    if (!HoldsAny(quota, now) && demand <= 0) {
      continue;
    }
    report.accounts.push_back(
        ReportAccount(account, quota, demand, shares, now));
  }
  return report;
}

bool ApplyQuotaAnswer(QuotaShares& shares,
                      std::uint64_t sequence,
                      const QuotaAnswer& answer,
                      TimePoint now) {
  if (sequence != shares.sequence) {
    return false;
  }
  shares.accepted_tenure = answer.tenure;
  shares.interval = std::max(answer.interval, kMinInterval);
  shares.ask_interval = std::max(answer.ask_interval, kMinInterval);
  for (const QuotaGrant& grant : answer.grants) {
    const auto found = shares.accounts.find(grant.account);
    if (found == shares.accounts.end()) {
      continue;
    }
    AccountQuota& quota = found->second;
    Advance(quota, now);
    quota.share = std::min(grant.share, kMaxHeldShare);
    quota.extra = std::max(0.0, grant.extra);
    quota.until = shares.sent_at + grant.valid;
    quota.tokens =
        std::min(quota.tokens + std::max(0.0, grant.tokens), Capacity(quota));
    quota.next_token_at = now + grant.next_token;
    Advance(quota, now);
  }
  return true;
}

std::size_t HeldAccounts(const QuotaShares& shares, TimePoint now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(shares.accounts, [now](const auto& item) {
        return item.second.share > 0 && now < item.second.until;
      }));
}

}  // namespace eelgrassbridge::limits
