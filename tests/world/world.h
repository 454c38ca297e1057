// A small world for scenarios, random schedules and the bench: the real decision objects
// of each instance, fakes of the network, the platform's store and the backend servers,
// and one event queue whose clock only moves from event to event. Judges watch what must
// always hold.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/accept.h"
#include "decide/config.h"
#include "decide/fair.h"
#include "decide/member.h"
#include "decide/share.h"
#include "decide/steer.h"
#include "decide/ticket.h"

namespace vanillaloft::world {

using namespace vanillaloft::decide;

// How the limits are shared out; the baselines are for comparison in the bench.
enum class LimitPolicy
{
  Shares,     // ours
  StaticSplit // each instance has an equal part of each total for good
};

// How a backend server is chosen.
enum class SteerPolicy
{
  Owned,            // ours
  RoundRobin,       // every instance sends to every server of its data centre in turn
  LeastReportedLoad // every instance sends to the server with the least reported load
};

struct Options
{
  unsigned mSeed = 1;
  LimitPolicy mLimits = LimitPolicy::Shares;
  SteerPolicy mSteering = SteerPolicy::Owned;
  // Deliberate defects, to see the proofs fail.
  bool mForgetTickets = false; // the ledger starts empty at each presentation
  bool mAcceptOlder = false;   // instances take any revision that differs
};

// A request whose life is watched.
struct WorldRequest
{
  OrganisationId mOrganisation;
  ServiceId mService;
  Instant mArrival{};
  Instant mUntil{}; // longest wait for a token or slot
  Instant mDeadline{};
  bool mCounted = true;
  std::string mTicket; // of orders
  std::string mOrder;  // name of the order in a scenario
  std::string mBody;
  std::uint64_t mAttempt = 0;
  std::function<void(base::Result)> mDone;
};
using RequestPtr = std::shared_ptr<WorldRequest>;

// What the judges counted for one organisation.
struct OrganisationTally
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mLimited = 0;      // refused by the limit
  std::uint64_t mIdealLimited = 0; // refused by one central bucket
  std::uint64_t mRefused = 0;      // refused for other reasons
  std::uint64_t mLost = 0;         // no answer
  std::uint64_t mOvershoot = 0;    // admitted beyond rate and burst
  std::vector<double> mLatencies;  // milliseconds, of answers
};

struct BackendFake
{
  unsigned mInFlight = 0;
  unsigned mMostInFlight = 0;
  std::uint64_t mServed = 0;
  std::uint64_t mAfterDrain = 0; // started although known as draining for two seconds
  Duration mServiceTime{};
  bool mDraining = false;
  Instant mDrainingSince{};
  bool mDown = false;
  bool mReportsFrozen = false;
  unsigned mReported = 0; // in flight, as of the last report
  bool mLies = false;     // reports that it serves while it sheds everything
  std::string mFault;     // of the next order: shed, die-before, die-after, late
  Instant mColdUntil{};
};

class World
{
public:
  World(ConfigPtr aConfig, Options aOptions);
  ~World();

  // Instances are named by data centre and number, such as a1/1.
  void AddInstance(const std::string& aName);

  void Kill(const std::string& aInstance);
  // Starts an instance that was killed, at its address or at a new one.
  void Replace(const std::string& aInstance, bool aNewAddress);
  void Freeze(const std::string& aInstance);
  void Thaw(const std::string& aInstance);
  // Planned stop.
  void Leave(const std::string& aInstance);
  // Cuts data centres, or a data centre and "store", from each other; "all" is
  // everything.
  void Cut(const std::string& aLeft, const std::string& aRight);
  void HealAll();
  // up, down, slow, lose (replies of writes are lost), mark, older (back to the mark).
  void SetStore(const std::string& aMode);
  void SetClockRate(const std::string& aInstance, int aPerMille);
  BackendFake& Server(const std::string& aName);
  // Requests in a second from callers of an organisation, spread over data centres by
  // weights.
  void SetDemand(const std::string& aOrganisation,
                 const std::string& aService,
                 double aPerSecond,
                 std::map<std::string, double> aWeights,
                 unsigned aBurst = 1);
  // An operator's change by compare-and-swap; aEdit gets the text in force in the store.
  void Change(const std::string& aOperator,
              std::function<std::string(std::string)> aEdit);
  // Gets a ticket for a named order from an instance.
  void IssueTicket(const std::string& aOrder, const std::string& aInstance);
  // Presents a named order's ticket at an instance.
  void PresentOrder(const std::string& aOrder,
                    const std::string& aInstance,
                    const std::string& aBody);

  void RunFor(Duration aTime);
  Instant Now() const { return mNow; }

  // Judgements.
  const OrganisationTally& Tally(const std::string& aOrganisation) const;
  std::uint64_t Overshoot() const;
  double WrongfulPercent() const; // of arrivals since the last ResetTallies
  double WrongfulPercent(const std::string& aOrganisation) const;
  std::uint64_t Overruns() const; // servers that had more in flight than slots
  std::uint64_t NewWorkAfterDrain() const;
  unsigned TimesRan(const std::string& aOrder) const;
  std::uint64_t FalseNotRun() const { return mFalseNotRun; }
  std::string LastAnswer(const std::string& aOrder) const;
  // Lowest and highest revision in force at living, unfrozen instances.
  Revision LowestRevision() const;
  Revision HighestRevision() const;
  std::uint64_t Reversions() const { return mReversions; }
  std::uint64_t StoreCalls() const { return mStoreCalls; }
  std::uint64_t ChangesAccepted() const { return mChangesAccepted; }
  std::uint64_t ChangesRefused() const { return mChangesRefused; }
  std::uint64_t Spilled() const { return mSpilled; }
  std::uint64_t Shifted() const { return mShifted; }
  bool KeyAccepted(const std::string& aInstance, const std::string& aKey) const;
  std::size_t RememberedOrders() const;
  // True if the instance could serve at once a request for the service.
  unsigned FreeSlots(const std::string& aInstance, const std::string& aService) const;
  Rate HeldRate(const std::string& aInstance, const std::string& aOrganisation) const;
  std::uint64_t Signature() const { return mSignature; }
  std::uint64_t Decisions() const { return mDecisions; }
  Duration DrainTime(const std::string& aServer) const;
  void ResetTallies();

private:
  struct Node;
  struct StoreFake;
  struct Demand;
  using Action = std::function<void()>;

  struct Event
  {
    Instant mAt{};
    std::uint64_t mOrder = 0; // of events at the same time
    Action mAction;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::pair(aLeft.mAt, aLeft.mOrder) > std::pair(aRight.mAt, aRight.mOrder);
    }
  };

  void At(Instant aTime, Action aAction);
  // Runs on a node unless it died meanwhile; waits while it is frozen.
  void OnNode(std::size_t aNode,
              std::uint64_t aGeneration,
              Duration aDelay,
              Action aAction);
  void RunOnNode(std::size_t aNode, std::uint64_t aGeneration, Action aAction);
  std::size_t NodeOf(const std::string& aName) const;
  std::optional<std::size_t> NodeAt(const std::string& aAddress) const;
  Instant NodeNow(std::size_t aNode) const;
  bool Connected(const std::string& aLeft, const std::string& aRight) const;
  Duration Delay(const std::string& aLeft, const std::string& aRight) const;
  void Boot(std::size_t aNode);
  void Beat(std::size_t aNode);
  void Tick(std::size_t aNode);
  void ProbeServers(std::size_t aNode);
  void PollConfig(std::size_t aNode);
  void TakeConfig(std::size_t aNode, const std::string& aText);
  void Renew(std::size_t aNode);
  void GiveBack(std::size_t aNode, int aTries);
  void StoreRead(std::size_t aNode,
                 const std::string& aKey,
                 std::function<void(bool, std::uint64_t, std::string)> aDone);
  void StoreSwap(std::size_t aNode,
                 const std::string& aKey,
                 std::uint64_t aVersion,
                 std::string aText,
                 std::function<void(std::optional<bool>)> aDone);
  void Exchange(std::size_t aFrom, std::size_t aTo, Action aAtReceiver);
  void Reply(std::size_t aFrom,
             std::size_t aTo,
             std::uint64_t aToGeneration,
             Action aAtReceiver);
  MemberStatus StatusOf(std::size_t aNode) const;
  void HearBeat(std::size_t aNode, std::size_t aFrom, const MemberStatus& aStatus);

  void Arrive(std::size_t aDemand);
  std::optional<std::size_t> PickInstance(const std::string& aDataCentre);
  void Limit(std::size_t aNode, RequestPtr aRequest, bool aFirst);
  void AskNext(std::size_t aNode,
               RequestPtr aRequest,
               std::vector<std::string> aGivers,
               std::size_t aIndex,
               bool aFirst);
  void LimitWait(std::size_t aNode, RequestPtr aRequest);
  void Admitted(std::size_t aNode, RequestPtr aRequest);
  void Place(std::size_t aNode, RequestPtr aRequest);
  void TryForward(std::size_t aNode,
                  RequestPtr aRequest,
                  std::vector<std::string> aAddresses,
                  std::size_t aIndex,
                  std::function<void()> aNone);
  void Wait(std::size_t aNode, RequestPtr aRequest);
  void ServeWaiters(std::size_t aNode);
  void Send(std::size_t aNode,
            RequestPtr aRequest,
            Slot aSlot,
            Duration aBack,
            std::function<void(base::Result)> aDone);
  std::optional<Slot> TakeSlot(std::size_t aNode, ServiceId aService, Origin aOrigin);
  void Finish(RequestPtr aRequest, base::Result aResult);
  void RunOrder(std::size_t aNode,
                RequestPtr aRequest,
                std::function<void(base::Result)> aDone);
  void StartOrder(std::size_t aNode,
                  RequestPtr aRequest,
                  std::function<void(base::Result)> aDone,
                  int aTries);
  void Sign(std::uint64_t aValue);

  ConfigPtr mInitial;
  Options mOptions;
  Instant mNow{ std::chrono::seconds(1000) };
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, BackendFake> mServers;
  std::unique_ptr<StoreFake> mStore;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::vector<std::unique_ptr<Demand>> mDemands;
  std::vector<OrganisationTally> mTallies;
  std::vector<Bucket> mJudges;
  std::vector<Bucket> mIdeals;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  std::uint64_t mNextEvent = 0;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mReversions = 0;
  std::uint64_t mChangesAccepted = 0;
  std::uint64_t mChangesRefused = 0;
  std::uint64_t mSpilled = 0;
  std::uint64_t mShifted = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mAttempts = 0;
  std::set<std::uint64_t> mRanAttempts;
  std::map<std::string, unsigned> mRuns;       // by ticket
  std::map<std::string, std::string> mTickets; // by order
  std::map<std::string, std::string> mAnswers; // by order
  std::map<std::string, Duration> mDrainTimes; // by server
  std::uint64_t mSignature = 14695981039346656037ULL;
  std::uint64_t mDecisions = 0;
  std::uint64_t mStarts = 0;
};

} // namespace vanillaloft::world
