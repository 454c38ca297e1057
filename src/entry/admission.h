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

  // Takes tokens of a budget from the own share or from another holder, waiting until
  // aUntil. False if none could be had.
  Awaitable<bool> TakeTokens(decide::BudgetId aBudget,
                             decide::MicroTokens aAmount,
                             Instant aUntil);

  // Takes a slot at once; nothing if there is none or others wait for it.
  std::optional<decide::Slot> TakeSlot(decide::ServiceId aService,
                                       decide::Origin aOrigin);

  // Waits for a slot in the queue that is fair by organisation. Throws RequestError if
  // the queue is full; nothing if no slot came until aUntil.
  Awaitable<std::optional<decide::Slot>> WaitForSlot(decide::ServiceId aService,
                                                     decide::OrganisationId aOrganisation,
                                                     Instant aUntil);

  // Gives a slot back and serves who waits.
  void Release(const decide::Slot& aSlot, decide::AttemptOutcome aEnding);

  // Serves waiters wherever slots became free, also by time passing.
  void ServeWaiters();

private:
  struct Waiter
  {
    boost::asio::steady_timer mTimer;
    std::optional<decide::Slot> mSlot;
  };

  Awaitable<bool> AskIfWorthwhile(std::string aKey,
                                  decide::BudgetId aBudget,
                                  decide::MicroTokens aAmount,
                                  bool aFirst);
  Awaitable<bool> AskHolders(decide::BudgetId aBudget,
                             decide::MicroTokens aAmount,
                             bool aFirst);

  Core& mCore;
  std::map<std::string, decide::FairQueue> mQueues; // by service name
  std::map<decide::WaiterId, Waiter*> mWaiters;
  decide::WaiterId mNextWaiter = 1;
  std::map<std::string, Instant> mDryUntil; // by budget, while no holder has tokens
};

} // namespace vanillaloft::entry
