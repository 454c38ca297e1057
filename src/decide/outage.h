// Distinguishes an outage of the platform's store from a network partition of this
// instance alone. While any instance gets responses, backend servers can renew their
// registrations, too.
#pragma once

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// No registration expires in a shorter outage: servers renew theirs every 1.5 s, and the
// store keeps them for three such intervals.
constexpr Duration kMinOutage = std::chrono::seconds(3);

class StoreOutage
{
public:
  // Records that this instance or a peer got a response to a request sent at
  // aRequestedAt.
  void RecordAnswer(Instant aRequestedAt, Instant aNow)
  {
    if (mLastAnsweredRequest && aRequestedAt - *mLastAnsweredRequest >= kMinOutage) {
      mLastEnd = aNow;
    }
    mLastAnsweredRequest =
      mLastAnsweredRequest ? std::max(*mLastAnsweredRequest, aRequestedAt) : aRequestedAt;
  }

  // Time at which the end of the last outage was detected, or aNow during an outage.
  // Empty: there was no outage.
  std::optional<Instant> LastEnd(Instant aNow) const
  {
    return mLastAnsweredRequest && aNow - *mLastAnsweredRequest >= kMinOutage ? aNow
                                                                              : mLastEnd;
  }

private:
  std::optional<Instant> mLastAnsweredRequest; // time at which it was sent
  std::optional<Instant> mLastEnd;
};

} // namespace vanillaloft::decide
