// Refills pools, sums up holders, and takes tokens out of a pool.
#include "eelgrassbridge/limits/quota_pool.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits::detail {

namespace {

using base::Duration;
using base::TimePoint;

/// Part of the pool that one report can take, so that a daemon with a large
/// demand leaves tokens for others.
constexpr double kMaxPoolPart = 0.5;
/// Tokens that stay in the pool for requests that wait; only what is above goes
/// into stocks.
constexpr double kPoolStock = 2;
/// A daemon that has not reported for this long has no demand.
constexpr Duration kDemandAge = base::seconds{10};

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Slack of an account; at least one token exists if the burst is below it.
double SlackOf(const QuotaOptions& options, const QuotaLimit& limit) {
  return std::max(options.slack, limit.burst < 1 ? 1.0 : 0.0);
}

void RefillUntil(const QuotaLedger& ledger,
                 AccountLedger& account,
                 TimePoint until,
                 bool settled) {
  const Pool pool = PoolOf(ledger, account, settled);
  const Duration passed = until - account.refilled_at;
  if (passed.count() > 0) {
    account.pool += pool.rate * Seconds(passed);
    account.refilled_at = until;
  }
  account.pool = std::min(account.pool, pool.capacity);
}

}  // namespace

double HolderSlack(const QuotaOptions& options) {
  constexpr double kHolderPart = 0.75;
  return options.slack * kHolderPart;
}

Pool PoolOf(const QuotaLedger& ledger,
            const AccountLedger& account,
            bool settled) {
  const double held =
      FractionOf(settled ? std::min(account.held, kWholeShare) : kMaxHeldShare);
  const double slack =
      SlackOf(ledger.options, account.limit) -
      (settled ? account.held_extra : detail::HolderSlack(ledger.options)) -
      account.loaned;
  return {(1 - held) * account.limit.rate,
          std::max(0.0, (1 - held) * account.limit.burst + slack)};
}

void Refill(const QuotaLedger& ledger, AccountLedger& account, TimePoint now) {
  if (account.refilled_at < ledger.settled_at) {
    RefillUntil(ledger, account, std::min(now, ledger.settled_at), false);
  }
  if (IsSettled(ledger, now)) {
    RefillUntil(ledger, account, now, true);
  }
}

void Count(AccountLedger& account, const QuotaHolder& holder) {
  account.held += holder.share;
  (holder.share > 0 ? account.held_extra : account.loaned) += holder.extra;
  account.total_demand += holder.demand;
  account.demanding += holder.demand > 0 ? 1 : 0;
}

void Discount(AccountLedger& account, const QuotaHolder& holder) {
  account.held -= holder.share;
  (holder.share > 0 ? account.held_extra : account.loaned) -= holder.extra;
  account.total_demand -= holder.demand;
  account.demanding -= holder.demand > 0 ? 1 : 0;
}

void SumHolders(AccountLedger& account, TimePoint now) {
  for (auto& [daemon, holder] : account.holders) {
    if (now >= holder.until) {
      holder.share = 0;
      holder.extra = 0;
    }
    if (now >= holder.heard_at + kDemandAge) {
      holder.demand = 0;
    }
  }
  std::erase_if(account.holders, [](const auto& item) {
    const QuotaHolder& holder = item.second;
    return holder.share == 0 && holder.extra <= 0 && holder.demand <= 0;
  });
  account.held = 0;
  account.held_extra = account.loaned = account.total_demand = 0;
  account.demanding = 0;
  for (const auto& [daemon, holder] : account.holders) {
    Count(account, holder);
  }
  account.summed_at = now;
}

double TakeFromPool(AccountLedger& account, const QuotaDemand& reported) {
  double tokens = 0;
  const double needed = std::max(0.0, reported.needed);
  if (needed <= 1) {
    tokens = needed <= account.pool ? needed : 0;
  } else {
    tokens = std::min(needed, std::floor(account.pool));
  }
  account.pool -= tokens;
  const double rest = std::max(0.0, account.pool - kPoolStock) * kMaxPoolPart;
  const double stock = std::clamp(reported.wanted, 0.0, rest);
  account.pool -= stock;
  return tokens + stock;
}

}  // namespace eelgrassbridge::limits::detail
