// Time limits of a planned stop: until when a stopping instance waits, and for what.
#pragma once

#include <algorithm>
#include <array>
#include <optional>

#include "base/clock.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// What the requests that an instance holds may wait for.
enum class StopWait : std::uint8_t
{
  Arrival, // of the rest of a request
  Start,   // at a backend server: for capacity, tokens or memory, or before a retry
  Answer   // of a backend server or of a peer
};

class PlannedStop
{
public:
  // aEnd: when the process ends at the latest.
  void Begin(Instant aEnd) { mEnd = aEnd; }

  // The end of a wait that lasts until aUntil if there is no stop.
  Instant Limit(StopWait aWait, Instant aUntil) const
  {
    return mEnd ? std::min(aUntil, *mEnd - MarginOf(aWait)) : aUntil;
  }
  // True if nothing may wait for this any more.
  bool IsOver(StopWait aWait, Instant aNow) const
  {
    return mEnd && aNow >= *mEnd - MarginOf(aWait);
  }

private:
  // Time between the end of a wait and that of the process, by StopWait. A refusal needs
  // time to reach its caller. The last answers that arrive are passed on at once.
  static Duration MarginOf(StopWait aWait)
  {
    using std::chrono::milliseconds;
    constexpr std::array kMargins = { milliseconds(200),
                                      milliseconds(200),
                                      milliseconds(50) };
    return kMargins.at(static_cast<std::size_t>(aWait));
  }

  std::optional<Instant> mEnd;
};

} // namespace vanillaloft::decide
