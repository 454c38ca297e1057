// Fair queueing by organisation: requests that wait for a slot are taken round-robin from
// the organisations' queues, so excess requests lengthen only their sender's queue.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "decide/config.h"

namespace vanillaloft::decide {

// Identifier of a waiting request, chosen by the caller.
using WaiterId = std::uint64_t;

class FairQueue
{
public:
  static constexpr std::size_t kMaxQueueLength = 64; // per organisation

  // Appends a waiter to its organisation's queue; false if that queue is full.
  bool Push(OrganisationId aOrganisation, WaiterId aWaiter);

  // Removes and returns the next waiter, round-robin over the organisations.
  std::optional<WaiterId> Pop();

  // Removes a waiter that no longer waits.
  void Remove(OrganisationId aOrganisation, WaiterId aWaiter);

  std::size_t Size() const { return mSize; }

private:
  struct OrganisationQueue
  {
    OrganisationId mOrganisation;
    std::deque<WaiterId> mWaiters;
  };

  // One queue for each organisation with waiters; the next to serve is at the front.
  std::deque<OrganisationQueue> mQueues;
  std::size_t mSize = 0;
};

} // namespace vanillaloft::decide
