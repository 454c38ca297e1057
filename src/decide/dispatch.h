// Placement of requests in the order of their urgency. Each request asks for a server and
// gets one, waits, or is refused. Capacity that becomes free is offered to the waiting
// requests, the most urgent first, so a new request never overtakes a more urgent one.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decide/fleet.h"
#include "decide/overload.h"

namespace vanillaloft::decide {

// A request that asks for a server.
struct PlacementRequest
{
  PlacementQuery mQuery;
  WaitTerms mTerms;
  unsigned mOrganisationPriority = 0;
  unsigned mRoutePriority = 0;
  Treatment mTreatment;
  Instant mSpillAt{}; // servers without affinity are used for a short time then
};

class Dispatcher
{
public:
  using Number = std::uint64_t; // of a request, in the order of arrival

  enum class Step : std::uint8_t
  {
    Start,   // send to mChoice; its result has to be recorded with the fleet
    Wait,    // ask again when told to, or after kPollInterval
    Refuse,  // no capacity in time
    NoServer // no server may take the request
  };

  struct Decision
  {
    Step mStep = Step::NoServer;
    ServerChoice mChoice = {};
    Duration mExpectedWait{}; // with Refuse: the wait that the forecast gives
  };

  // Capacity also becomes free without the end of a request: pauses end, and servers that
  // warm up accept more.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(25);
  // Waiting requests of a service. Beyond them the least urgent is refused.
  static constexpr std::size_t kMaxWaiters = 64;

  // aOnDecided is called when a waiting request should ask again. It must not call back.
  Dispatcher(Fleet& aFleet, std::function<void(Number)> aOnDecided)
    : mFleet(aFleet)
    , mOnDecided(std::move(aOnDecided))
  {
  }

  Number NextNumber() { return mNextNumber++; }
  // Decides on a request that arrives or asks again. After Wait it is waiting, otherwise
  // it is forgotten.
  Decision Ask(Number aNumber, PlacementRequest aRequest, Instant aNow);
  // Forgets a waiting request, and returns the capacity that it may have got.
  void Leave(Number aNumber, Instant aNow);
  // Offers free capacity of a service to its waiting requests.
  void Offer(const std::string& aService, Instant aNow);
  std::size_t Waiting() const { return mWaiters.size(); }

private:
  struct Waiter
  {
    std::string mService;
    PlacementRequest mRequest;
    WaitRank mRank;
    Instant mAskedAt{};
    ServerChoice mChoice; // with a server: not yet claimed
    bool mEvicted = false;
  };
  struct Queue
  {
    std::set<WaitRank> mRanks; // of requests without a server
    WaitForecast mForecast;
    Instant mOfferedAt{};
  };

  Waiter& Enlist(Number aNumber, PlacementRequest aRequest, Instant aNow);
  Step StepOf(Number aNumber, Waiter& aWaiter, Instant aNow);
  Decision Decide(Number aNumber, Waiter& aWaiter, Instant aNow);
  // The requests before a rank that are like it.
  static std::size_t Ahead(const Queue& aQueue, const WaitRank& aRank);
  void OfferTo(Waiter& aWaiter, Instant aNow);
  void OfferAll(Queue& aQueue, Number aAsking, Instant aNow);
  void EvictLast(Queue& aQueue, Number aAsking);
  void RecordWait(const Waiter& aWaiter, bool aStarted, Instant aNow);
  void Forget(Number aNumber);

  Fleet& mFleet;
  std::function<void(Number)> mOnDecided;
  Number mNextNumber = 1;
  std::map<Number, Waiter> mWaiters;
  std::map<std::string, Queue> mQueues; // by service name
};

} // namespace vanillaloft::decide
