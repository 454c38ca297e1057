#include "decide/fair.h"

#include <algorithm>

namespace vanillaloft::decide {

bool FairQueue::Push(OrganisationId aOrganisation, WaiterId aWaiter)
{
  auto queue =
    std::ranges::find(mQueues, aOrganisation, &OrganisationQueue::mOrganisation);
  if (queue == mQueues.end()) {
    mQueues.push_back({ aOrganisation, { aWaiter } });
  } else if (queue->mWaiters.size() >= kMaxQueueLength) {
    return false;
  } else {
    queue->mWaiters.push_back(aWaiter);
  }
  ++mSize;
  return true;
}

std::optional<WaiterId> FairQueue::Pop()
{
  if (mQueues.empty()) {
    return std::nullopt;
  }
  OrganisationQueue queue = std::move(mQueues.front());
  mQueues.pop_front();
  WaiterId waiter = queue.mWaiters.front();
  queue.mWaiters.pop_front();
  if (!queue.mWaiters.empty()) {
    mQueues.push_back(std::move(queue));
  }
  --mSize;
  return waiter;
}

void FairQueue::Remove(OrganisationId aOrganisation, WaiterId aWaiter)
{
  auto queue =
    std::ranges::find(mQueues, aOrganisation, &OrganisationQueue::mOrganisation);
  if (queue == mQueues.end()) {
    return;
  }
  mSize -= std::erase(queue->mWaiters, aWaiter);
  if (queue->mWaiters.empty()) {
    mQueues.erase(queue);
  }
}

} // namespace vanillaloft::decide
