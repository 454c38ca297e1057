// Division of a budget's total: the part that may be used at all, a floor for each data
// centre, and the pool that is divided by demand.
#pragma once

#include "decide/bucket.h"
#include "decide/lease.h"
#include "decide/share_document.h"

namespace vanillaloft::decide {

// The part of a budget's total that may be divided into shares, and the longest life of
// its tokens in flight.
struct UsableBudget
{
  Rate mRate;
  Duration mTokenLife{};
};

UsableBudget UsableBudgetOf(Rate aTotal);

// Lease of tokens that a holder lends to another instance, counted by the borrower from
// before it asked. A borrower that is a holder may pass them on within this lease.
constexpr Duration LoanLease(const UsableBudget& aUsable)
{
  return aUsable.mTokenLife * 2 / 3;
}

// Lease of tokens that an instance gets from the holder of its data centre, which may
// have borrowed them. Together with LoanLease it is at most the life of a token.
constexpr Duration RelayLease(const UsableBudget& aUsable)
{
  return aUsable.mTokenLife / 3;
}

// The sum of two rates.
Rate Sum(Rate aLeft, Rate aRight);
// The given number of equal parts of a rate.
Rate Fraction(Rate aWhole, std::int64_t aCount, std::int64_t aOf);

// The floor of one data centre. A floor below one token would admit nothing, so a small
// budget has no floors and its total is the pool.
Rate FloorOf(const Config& aConfig, Rate aUsable);

// What remains of the total after the floors of all data centres.
Rate PoolOf(const Config& aConfig, Rate aUsable);

// The share of the pool for a holder by its demand. A share with a burst of few tokens
// serves requests poorly, so a small pool goes undivided to the preferred holder.
PerMille TargetPoolShare(const Config& aConfig,
                         const ShareDocument& aDocument,
                         const Incarnation& aHolder,
                         const std::string& aKey,
                         Rate aPool);

} // namespace vanillaloft::decide
