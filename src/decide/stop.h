// Time limits of a planned stop: until when a stopping instance waits, and for what.
#pragma once

#include <algorithm>
#include <array>
#include <optional>

#include "base/clock.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// What a stopping instance may wait for.
enum class StopWait : std::uint8_t
{
  Arrival, // of the rest of a request
  Start,   // at a backend server: for a connection, capacity, tokens or memory, or before
           // a retry
  Answer,  // of a backend server or of a peer
  Handler, // any wait of a request that the limits above did not end
  Delivery // of answers to callers and peers, before the process ends
};

class PlannedStop
{
public:
  // aEnd: until when requests are served. The process ends a little later at most, see
  // StopWait::Delivery.
  void Begin(Instant aEnd) { mEnd = aEnd; }
  // Ends the service before that, since nothing is left to serve. Needs Begin.
  void EndService(Instant aNow) { mEnd = std::min(*mEnd, aNow); }
  bool HasBegun() const { return mEnd.has_value(); }

  // The end of a wait that lasts until aUntil if there is no stop.
  Instant Limit(StopWait aWait, Instant aUntil) const
  {
    return mEnd ? std::min(aUntil, LimitOf(aWait)) : aUntil;
  }
  // True if nothing may wait for this any more.
  bool IsOver(StopWait aWait, Instant aNow) const
  {
    return mEnd && aNow >= LimitOf(aWait);
  }
  // Time until then; zero once it has passed. Needs Begin.
  Duration Left(StopWait aWait, Instant aNow) const
  {
    return std::max(LimitOf(aWait) - aNow, Duration::zero());
  }

private:
  // By StopWait: the end of a wait relative to that of the service. A refusal needs time
  // to reach its caller. The last answers that arrive are passed on at once.
  Instant LimitOf(StopWait aWait) const
  {
    using std::chrono::milliseconds;
    constexpr std::array kLimits = { milliseconds(-200),
                                     milliseconds(-200),
                                     milliseconds(-50),
                                     milliseconds(0),
                                     milliseconds(250) };
    return *mEnd + kLimits.at(static_cast<std::size_t>(aWait));
  }

  std::optional<Instant> mEnd;
};

} // namespace vanillaloft::decide
