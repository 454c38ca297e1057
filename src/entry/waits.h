// The waits of requests that a planned stop has to end. Waits that check
// decide::PlannedStop::Limit again within a short time need no registration.
#pragma once

#include <functional>

#include "decide/stop.h"
#include "entry/registry.h"

namespace vanillaloft::entry {

// mEnd is called repeatedly once the wait is over; it must not destroy a registration.
struct RequestWait
{
  decide::StopWait mFor;
  std::function<void()> mEnd;
};

using WaitRegistry = Registry<RequestWait>;
using WaitRegistration = WaitRegistry::Registration;

// Ends the waits that the stop no longer allows.
inline void EndOverdue(const WaitRegistry& aWaits,
                       const decide::PlannedStop& aStop,
                       base::Instant aNow)
{
  for (const RequestWait& wait : aWaits.All()) {
    if (aStop.IsOver(wait.mFor, aNow)) {
      wait.mEnd();
    }
  }
}

} // namespace vanillaloft::entry
