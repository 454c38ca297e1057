// Leases of shares and tokens, and how their two ends count them.
#pragma once

#include "base/types.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// Lease of a pool share, counted from the time at which the write that recorded it was
// sent.
constexpr Duration kPoolLease = std::chrono::seconds(9);
// Lease of a floor, counted in the same way.
constexpr Duration kFloorLease = std::chrono::hours(2);
// A new instance claims no share for this long. If the store came back empty or with an
// older state, the live holders that reach it repair the document meanwhile.
constexpr Duration kNewHolderWait = std::chrono::seconds(3);
constexpr Duration kRenewInterval = std::chrono::seconds(2);
// Bound on how much a clock runs fast or slow.
constexpr int kDriftPerMille = 10;
// Longest time from the debit of a token at its holder to its use, at whichever instance.
constexpr Duration kMaxTokenLife = std::chrono::milliseconds(120);

// The lease as its holder counts it: shorter, because the holder's clock may be slow.
constexpr Duration HolderLease(Duration aLease)
{
  return aLease * (1000 - kDriftPerMille) / 1000;
}

// Time after which another instance may reclaim a share: longer than the lease, because
// that instance's clock may be fast.
constexpr Duration ReclaimDelay(Duration aLease)
{
  return aLease * (1000 + kDriftPerMille) / 1000;
}

} // namespace vanillaloft::decide
