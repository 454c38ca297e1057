// Tells an outage of the platform's store from a cut of this instance alone: while any
// instance gets answers, backend servers can renew their registrations, too.
#pragma once

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// In a shorter outage no registration lapses: servers renew theirs every 1.5 s, and the
// store keeps them for three such intervals.
constexpr Duration kShortestOutage = std::chrono::seconds(3);

class StoreOutage
{
public:
  // Notes that this instance or a peer had an answer to what it asked at aAsked.
  void Answered(Instant aAsked, Instant aNow)
  {
    if (mLast && aAsked - *mLast >= kShortestOutage) {
      mEnd = aNow;
    }
    mLast = mLast ? std::max(*mLast, aAsked) : aAsked;
  }

  // When the last outage was noticed to be over; one that goes on ends now. None: there
  // was no outage.
  std::optional<Instant> End(Instant aNow) const
  {
    return mLast && aNow - *mLast >= kShortestOutage ? aNow : mEnd;
  }

private:
  std::optional<Instant> mLast; // the newest question that was answered
  std::optional<Instant> mEnd;
};

} // namespace vanillaloft::decide
