// Fair queueing by organisation: requests that wait for a slot are taken in turn from
// each organisation, so one that sends too much lengthens only its own queue.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "decide/config.h"

namespace vanillaloft::decide {

// Identifies a waiting request to its caller.
using WaiterId = std::uint64_t;

class FairQueue
{
public:
  static constexpr std::size_t kMaxQueueLength = 64; // for each organisation

  // Adds a waiter behind its organisation's others; false if that queue is full.
  bool Push(OrganisationId aOrganisation, WaiterId aWaiter);

  // Takes the next waiter, a different organisation each time.
  std::optional<WaiterId> Pop();

  // Takes a waiter out that no longer waits.
  void Remove(OrganisationId aOrganisation, WaiterId aWaiter);

  std::size_t Size() const { return mSize; }

private:
  struct OrganisationQueue
  {
    OrganisationId mOrganisation;
    std::deque<WaiterId> mWaiters;
  };

  // Organisations with waiters, the next to be served first.
  std::deque<OrganisationQueue> mQueues;
  std::size_t mSize = 0;
};

} // namespace vanillaloft::decide
