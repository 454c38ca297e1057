#include "decide/fair.h"

#include <algorithm>

namespace vanillaloft::decide {

bool FairQueue::Push(OrganisationId aOrganisation, WaiterId aWaiter)
{
  auto line = std::ranges::find(mLines, aOrganisation, &Line::mOrganisation);
  if (line == mLines.end()) {
    mLines.push_back({ aOrganisation, { aWaiter } });
  } else if (line->mWaiters.size() >= kLongestQueue) {
    return false;
  } else {
    line->mWaiters.push_back(aWaiter);
  }
  ++mSize;
  return true;
}

std::optional<WaiterId> FairQueue::Pop()
{
  if (mLines.empty()) {
    return std::nullopt;
  }
  Line line = std::move(mLines.front());
  mLines.pop_front();
  WaiterId waiter = line.mWaiters.front();
  line.mWaiters.pop_front();
  if (!line.mWaiters.empty()) {
    mLines.push_back(std::move(line));
  }
  --mSize;
  return waiter;
}

void FairQueue::Remove(OrganisationId aOrganisation, WaiterId aWaiter)
{
  auto line = std::ranges::find(mLines, aOrganisation, &Line::mOrganisation);
  if (line == mLines.end()) {
    return;
  }
  mSize -= std::erase(line->mWaiters, aWaiter);
  if (line->mWaiters.empty()) {
    mLines.erase(line);
  }
}

} // namespace vanillaloft::decide
