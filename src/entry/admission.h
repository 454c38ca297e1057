// Waiting for tokens of fleet-wide budgets and for slots of backend servers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "decide/fair.h"
#include "entry/core.h"

namespace vanillaloft::entry {

class Admission
{
public:
  explicit Admission(Core& aCore)
    : mCore(aCore)
  {
  }

  // Takes tokens of a budget from this instance's share or from another holder, and waits
  // for them until aUntil. Returns false if none were available.
  Awaitable<bool> TakeTokens(decide::BudgetId aBudget,
                             decide::MicroTokens aAmount,
                             Instant aUntil);

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

private:
  struct Waiter
  {
    boost::asio::steady_timer mTimer;
    std::optional<decide::Slot> mSlot;
  };

  Awaitable<bool> RequestTokensUnlessExhausted(std::string aKey,
                                               decide::BudgetId aBudget,
                                               decide::MicroTokens aAmount,
                                               bool aFirstAttempt);
  Awaitable<bool> RequestTokens(decide::BudgetId aBudget,
                                decide::MicroTokens aAmount,
                                bool aFirstAttempt);

  Core& mCore;
  std::map<std::string, decide::FairQueue> mQueues; // by service name
  std::map<decide::WaiterId, Waiter*> mWaiters;
  decide::WaiterId mNextWaiter = 1;
  std::map<std::string, Instant> mExhaustedUntil; // by budget, while no holder has tokens
};

} // namespace vanillaloft::entry
