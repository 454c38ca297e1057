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
constexpr Duration kMinOutage = std::chrono::seconds(3);

class StoreOutage
{
public:
  // Notes that this instance or a peer had an answer to what it asked at aAsked.
  void RecordAnswer(Instant aAsked, Instant aNow)
  {
    if (mLastAnsweredRequest && aAsked - *mLastAnsweredRequest >= kMinOutage) {
      mLastEnd = aNow;
    }
    mLastAnsweredRequest =
      mLastAnsweredRequest ? std::max(*mLastAnsweredRequest, aAsked) : aAsked;
  }

  // When the last outage was noticed to be over; one that goes on ends now. None: there
  // was no outage.
  std::optional<Instant> LastEnd(Instant aNow) const
  {
    return mLastAnsweredRequest && aNow - *mLastAnsweredRequest >= kMinOutage ? aNow
                                                                              : mLastEnd;
  }

private:
  std::optional<Instant> mLastAnsweredRequest; // the newest question that was answered
  std::optional<Instant> mLastEnd;
};

} // namespace vanillaloft::decide
