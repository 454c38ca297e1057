// Admission of requests: tokens of fleet-wide budgets, and slots of backend servers,
// which requests wait for.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "decide/fair.h"
#include "entry/core.h"
#include "entry/tokens.h"

namespace vanillaloft::entry {

class Admission
{
public:
  explicit Admission(Core& aCore)
    : mTokens(aCore)
    , mCore(aCore)
  {
  }

  // Takes a slot without waiting; empty if none is free or other requests are queued.
  std::optional<decide::Slot> TakeSlot(decide::ServiceId aService,
                                       decide::Origin aOrigin);

  // Waits for a slot in the admission queue, which is fair between organisations. Throws
  // RequestError if the queue is full; empty if no slot became free until aUntil.
  Awaitable<std::optional<decide::Slot>> WaitForSlot(decide::ServiceId aService,
                                                     decide::OrganisationId aOrganisation,
                                                     Instant aUntil);

  // Releases a slot and assigns free slots to queued requests.
  void Release(const decide::Slot& aSlot, decide::AttemptOutcome aAttemptOutcome);

  // Assigns free slots to queued requests. Slots also become free as time passes, so this
  // must also be called without a release.
  void ServeWaiters();

  Tokens mTokens;

private:
  struct Waiter
  {
    boost::asio::steady_timer mTimer;
    std::optional<decide::Slot> mSlot;
  };

  Core& mCore;
  std::map<std::string, decide::FairQueue> mQueues; // by service name
  std::map<decide::WaiterId, Waiter*> mWaiters;
  decide::WaiterId mNextWaiter = 1;
};

} // namespace vanillaloft::entry
