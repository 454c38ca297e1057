#include "decide/dispatch.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

// Least time between two offers that no event calls for.
constexpr Duration kMinOfferInterval = Dispatcher::kPollInterval / 5;

// A request that found no server without affinity for its object in this time waits for
// one that has it. Spilling later would slow that server for the objects that it knows.
constexpr Duration kSpillTime = 2 * Dispatcher::kPollInterval;

} // namespace

Dispatcher::Waiter& Dispatcher::Enlist(Number aNumber,
                                       PlacementRequest aRequest,
                                       Instant aNow)
{
  Waiter& waiter = mWaiters[aNumber];
  if (!waiter.mService.empty()) {
    mQueues[waiter.mService].mRanks.erase(waiter.mRank);
  }
  const PlacementQuery& query = aRequest.mQuery;
  waiter.mService = query.mConfig->mServices[query.mService.Value()].mName;
  waiter.mRank = RankOf(aRequest.mTerms,
                        aRequest.mOrganisationPriority,
                        aRequest.mRoutePriority,
                        aRequest.mTreatment,
                        aNumber,
                        aNow);
  waiter.mRequest = std::move(aRequest);
  if (waiter.mAskedAt == Instant()) {
    waiter.mAskedAt = aNow;
  }
  mQueues[waiter.mService].mRanks.insert(waiter.mRank);
  return waiter;
}

void Dispatcher::Forget(Number aNumber)
{
  auto found = mWaiters.find(aNumber);
  mQueues[found->second.mService].mRanks.erase(found->second.mRank);
  mWaiters.erase(found);
}

void Dispatcher::RecordWait(const Waiter& aWaiter, bool aStarted, Instant aNow)
{
  Duration waited = aNow - aWaiter.mAskedAt;
  if (waited <= Duration::zero()) {
    return;
  }
  mQueues[aWaiter.mService].mForecast.Record(
    aWaiter.mRank.mRoutePriority, aWaiter.mRank.mStanding, waited, aStarted, aNow);
}

std::size_t Dispatcher::Ahead(const Queue& aQueue, const WaitRank& aRank)
{
  return static_cast<std::size_t>(std::count_if(
    aQueue.mRanks.begin(), aQueue.mRanks.lower_bound(aRank), [&](const WaitRank& aOther) {
      return aOther.mRoutePriority == aRank.mRoutePriority &&
             aOther.mStanding == aRank.mStanding;
    }));
}

void Dispatcher::OfferTo(Waiter& aWaiter, Instant aNow)
{
  Instant spillAt = aWaiter.mRequest.mSpillAt;
  aWaiter.mRequest.mQuery.mMaySpill = aNow >= spillAt && aNow < spillAt + kSpillTime;
  aWaiter.mChoice = mFleet.Choose(aWaiter.mRequest.mQuery, aNow);
}

void Dispatcher::OfferAll(Queue& aQueue, Number aAsking, Instant aNow)
{
  aQueue.mOfferedAt = aNow;
  for (auto rank = aQueue.mRanks.begin(); rank != aQueue.mRanks.end();) {
    Number number = rank->mNumber;
    Waiter& waiter = mWaiters.at(number);
    OfferTo(waiter, aNow);
    if (!waiter.mChoice.mServer) {
      ++rank;
      continue;
    }
    rank = aQueue.mRanks.erase(rank);
    if (number != aAsking) {
      mOnDecided(number);
    }
  }
}

void Dispatcher::Offer(const std::string& aService, Instant aNow)
{
  auto queue = mQueues.find(aService);
  if (queue != mQueues.end()) {
    OfferAll(queue->second, 0, aNow);
  }
}

void Dispatcher::EvictLast(Queue& aQueue, Number aAsking)
{
  auto last = std::prev(aQueue.mRanks.end());
  Number number = last->mNumber;
  mWaiters.at(number).mEvicted = true;
  aQueue.mRanks.erase(last);
  if (number != aAsking) {
    mOnDecided(number);
  }
}

// A request that asks again looks at the whole queue only if no one else did so lately.
Dispatcher::Decision Dispatcher::Ask(Number aNumber,
                                     PlacementRequest aRequest,
                                     Instant aNow)
{
  auto found = mWaiters.find(aNumber);
  bool isNew = found == mWaiters.end();
  if (!isNew && (found->second.mChoice.mServer || found->second.mEvicted)) {
    return Decide(aNumber, found->second, aNow);
  }
  bool stale = !isNew && found->second.mRequest.mQuery.mConfig != aRequest.mQuery.mConfig;
  Waiter& waiter = Enlist(aNumber, std::move(aRequest), aNow);
  Queue& queue = mQueues[waiter.mService];
  if (isNew || stale || aNow - queue.mOfferedAt >= kMinOfferInterval) {
    OfferAll(queue, aNumber, aNow);
  }
  return Decide(aNumber, waiter, aNow);
}

Dispatcher::Step Dispatcher::StepOf(Number aNumber, Waiter& aWaiter, Instant aNow)
{
  Queue& queue = mQueues[aWaiter.mService];
  const PlacementRequest& request = aWaiter.mRequest;
  const ServerChoice& choice = aWaiter.mChoice;
  bool paused =
    choice.mReason == NoServerReason::AllPaused && choice.mPausedUntil > request.mSpillAt;
  if (choice.mServer) {
    return Step::Start;
  }
  if (paused || choice.mReason == NoServerReason::NoCandidate) {
    return Step::NoServer;
  }
  std::size_t ahead = Ahead(queue, aWaiter.mRank);
  bool pays =
    WaitPays(queue.mForecast, request.mTerms, request.mRoutePriority, ahead, aNow);
  if (pays && !aWaiter.mEvicted && queue.mRanks.size() > kMaxWaiters) {
    EvictLast(queue, aNumber);
  }
  return pays && !aWaiter.mEvicted ? Step::Wait : Step::Refuse;
}

Dispatcher::Decision Dispatcher::Decide(Number aNumber, Waiter& aWaiter, Instant aNow)
{
  RecordWait(aWaiter, aWaiter.mChoice.mServer != nullptr, aNow);
  aWaiter.mAskedAt = aNow;
  Step step = StepOf(aNumber, aWaiter, aNow);
  // A caller that repeats at once has had its chance to spill.
  bool maySpill = aWaiter.mRequest.mTerms.mReturn != Return::TooSoon;
  if (step == Step::Refuse && maySpill && aNow < aWaiter.mRequest.mSpillAt) {
    aWaiter.mRequest.mSpillAt = aNow; // rather than refuse it
    OfferTo(aWaiter, aNow);
    step = aWaiter.mChoice.mServer ? Step::Start : Step::Refuse;
  }
  Queue& queue = mQueues[aWaiter.mService];
  Duration expected = queue.mForecast.Expect(aWaiter.mRank.mRoutePriority,
                                             aWaiter.mRank.mStanding,
                                             Ahead(queue, aWaiter.mRank),
                                             aNow);
  Decision decision{ step, aWaiter.mChoice, expected };
  if (step != Step::Wait) {
    Forget(aNumber);
  }
  return decision;
}

void Dispatcher::Leave(Number aNumber, Instant aNow)
{
  auto found = mWaiters.find(aNumber);
  if (found == mWaiters.end()) {
    return;
  }
  ServerChoice choice = found->second.mChoice;
  RecordWait(found->second, choice.mServer != nullptr, aNow);
  std::string service = found->second.mService;
  Forget(aNumber);
  if (choice.mServer) {
    mFleet.RecordResult(choice.mServer, SendResult::Cancelled, aNow, choice.mFlight);
    Offer(service, aNow);
  }
}

} // namespace vanillaloft::decide
