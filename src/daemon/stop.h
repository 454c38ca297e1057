// The planned stop of an instance, from SIGTERM to the end of its service.
#pragma once

#include "daemon/loops.h"
#include "entry/listener.h"

namespace vanillaloft::daemon {

class Stopper
{
public:
  Stopper(entry::Core& aCore,
          entry::LookupHandler& aLookUps,
          entry::Listener& aListener,
          Loops& aLoops)
    : mCore(aCore)
    , mLookUps(aLookUps)
    , mListener(aListener)
    , mLoops(aLoops)
  {
  }

  // Performs the planned stop: look-ups no longer return this instance; it serves until
  // cached look-up answers and tickets have expired and each request that has arrived is
  // answered, and releases its shares. decide::PlannedStop limits each of these waits.
  Awaitable<void> Run();

private:
  void Leave();
  Awaitable<void> AcceptLastRequests();
  void StopAccepting();
  Awaitable<void> AwaitDelivery();
  // Waits for a short time and ends what the stop no longer allows.
  Awaitable<void> Tick();
  bool IsOver(decide::StopWait aWait, Duration aIn = Duration::zero()) const;
  Duration LongestLookUpTtl() const;
  Instant AcceptDeadline() const;

  entry::Core& mCore;
  entry::LookupHandler& mLookUps;
  entry::Listener& mListener;
  Loops& mLoops;
};

} // namespace vanillaloft::daemon
