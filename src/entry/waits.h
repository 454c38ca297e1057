// The waits of requests that a planned stop has to end. Waits that check
// decide::PlannedStop::Limit again within a short time need no registration.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "decide/stop.h"

namespace vanillaloft::entry {

class WaitRegistry
{
private:
  struct Wait
  {
    decide::StopWait mFor;
    std::function<void()> mEnd;
  };
  // Shared with the coroutines, which may be destroyed after this object at the end of
  // the process.
  using Waits = std::list<Wait>;
  using WaitsPtr = std::shared_ptr<Waits>;

public:
  // Registers a wait during its life. aEnd is called repeatedly once the wait is over; it
  // must not destroy a registration.
  class Registration
  {
  public:
    Registration(WaitRegistry& aRegistry,
                 decide::StopWait aFor,
                 std::function<void()> aEnd)
      : mWaits(aRegistry.mWaits)
      , mPosition(mWaits->insert(mWaits->end(), { aFor, std::move(aEnd) }))
    {
    }
    ~Registration() { mWaits->erase(mPosition); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

  private:
    WaitsPtr mWaits;
    Waits::iterator mPosition;
  };

  // Ends the waits that the stop no longer allows.
  void EndOverdue(const decide::PlannedStop& aStop, base::Instant aNow) const
  {
    for (const Wait& wait : *mWaits) {
      if (aStop.IsOver(wait.mFor, aNow)) {
        wait.mEnd();
      }
    }
  }

private:
  WaitsPtr mWaits = std::make_shared<Waits>();
};

} // namespace vanillaloft::entry
