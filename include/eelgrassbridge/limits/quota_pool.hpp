// The coordinator's pool of an account, and the sums over the holders of its
// limit that the pool depends on.
#ifndef EELGRASSBRIDGE_LIMITS_QUOTA_POOL_HPP
#define EELGRASSBRIDGE_LIMITS_QUOTA_POOL_HPP

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/limits/quota_ledger.hpp"

namespace eelgrassbridge::limits::detail {

struct Pool {
  /// Tokens per second.
  double rate = 0;
  double capacity = 0;
};

/// The part of the limit that refills the pool. Until all holders are known,
/// others may hold all that can be held.
Pool PoolOf(const QuotaLedger& ledger,
            const AccountLedger& account,
            bool settled);

/// Refills the pool until now by the present limit and holders.
void Refill(const QuotaLedger& ledger,
            AccountLedger& account,
            base::TimePoint now);

/// Adds a holder to the sums of the account.
void Count(AccountLedger& account, const QuotaHolder& holder);

/// Removes a holder from the sums of the account.
void Discount(AccountLedger& account, const QuotaHolder& holder);

/// Ends rights whose time is over, forgets holders of nothing, and sums up the
/// others.
void SumHolders(AccountLedger& account, base::TimePoint now);

/// Takes tokens out of the pool: those that requests wait for if it has them,
/// and a stock if enough remain for requests at other daemons.
double TakeFromPool(AccountLedger& account, const QuotaDemand& reported);

}  // namespace eelgrassbridge::limits::detail

#endif  // EELGRASSBRIDGE_LIMITS_QUOTA_POOL_HPP
