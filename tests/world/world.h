// A discrete-event simulation of a fleet, used by the scenarios, the random schedules and
// the bench. Each instance runs the real decision objects; the network, the platform's
// store and the backend servers are simulated. One event queue drives everything, and the
// simulated clock advances only from event to event. Counters check the invariants, such
// as that no organisation exceeds its limit and no backend server its slots.
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
#include "decide/claim.h"
#include "decide/config.h"
#include "decide/fair.h"
#include "decide/member.h"
#include "decide/share.h"
#include "decide/steer.h"
#include "decide/ticket.h"

namespace vanillaloft::world {

using namespace vanillaloft::decide;

// How limits are divided among instances. The bench compares the product's policy with
// the others.
enum class LimitPolicy
{
  Shares,     // the product's policy: leased shares
  StaticSplit // each instance has a fixed, equal part of each total
};

// How a backend server is chosen.
enum class SteerPolicy
{
  Owned,            // the product's policy: one instance owns each server's slots
  RoundRobin,       // each instance rotates over all servers of its data centre
  LeastReportedLoad // each instance picks the server with the least reported load
};

struct Options
{
  unsigned mSeed = 1;
  LimitPolicy mLimits = LimitPolicy::Shares;
  SteerPolicy mSteering = SteerPolicy::Owned;
  // Deliberate defects, with which the checks must fail.
  bool mForgetTickets = false; // a ticket presented again runs its order again
  bool mAcceptOlder = false;   // instances accept any differing revision, also older ones
};

// A simulated request, from its arrival to its result.
struct SimulatedRequest
{
  OrganisationId mOrganisation;
  ServiceId mService;
  Instant mArrival{};
  Instant mWaitUntil{}; // end of the wait for a token
  Instant mDeadline{};
  bool mCounted = true;
  std::string mTicket; // of orders
  std::string mOrder;  // name of the order in a scenario
  std::string mBody;
  std::uint64_t mAttempt = 0;
  std::function<void(base::Result)> mDone;
};
using RequestPtr = std::shared_ptr<SimulatedRequest>;

// Counts for one organisation.
struct OrganisationTally
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mLimited = 0;      // refused by the rate limit
  std::uint64_t mIdealLimited = 0; // refused by an ideal central token bucket
  std::uint64_t mRefused = 0;      // refused for other reasons
  std::uint64_t mLost = 0;         // no answer arrived
  std::uint64_t mOvershoot = 0;    // admitted in excess of rate and burst
  std::vector<double> mLatencies;  // of answered requests, in milliseconds
};

// A simulated backend server, with its own record of what it ran.
struct FakeBackendServer
{
  unsigned mInFlight = 0;
  unsigned mPeakInFlight = 0;
  std::uint64_t mServed = 0;
  std::uint64_t mStartedAfterDrain = 0; // started over two seconds after the drain began
  Duration mServiceTime{};
  bool mDraining = false;
  Instant mDrainingSince{};
  bool mDown = false;
  bool mReportsFrozen = false;
  unsigned mReported = 0;     // requests in flight in the last report
  bool mFalseReports = false; // reports Serving but sheds everything
  std::string mFault;         // for the next order: shed, die-before, die-after, late
  Instant mColdUntil{};
};

// The simulated fleet, with the faults and the load that the caller sets.
class World
{
public:
  World(ConfigPtr aConfig, Options aOptions);
  ~World();

  // Starts an instance. Its name is its data centre and a number, such as a1/1.
  void AddInstance(const std::string& aName);

  void Kill(const std::string& aInstance);
  // Restarts an instance at its address or a new one; kills it first if it is alive.
  void Replace(const std::string& aInstance, bool aNewAddress);
  void Freeze(const std::string& aInstance);
  void Thaw(const std::string& aInstance);
  // Begins a planned stop: the instance drains, releases its shares and exits.
  void Leave(const std::string& aInstance);
  // Cuts the connection between two data centres, or a data centre and "store". With
  // "all" as the right side, cuts the left from everything.
  void Cut(const std::string& aLeft, const std::string& aRight);
  void RemoveCuts();
  // Modes: up, down, slow, lose (replies to writes are lost). Actions: mark saves the
  // store's content, older restores the saved content.
  void SetStore(const std::string& aMode);
  // Makes an instance's clock drift by so many parts per thousand; negative is slow.
  void SetClockRate(const std::string& aInstance, int aPerMille);
  FakeBackendServer& Server(const std::string& aName);
  // Sets the arrival rate of an organisation's requests for a service, in requests per
  // second, spread over data centres by weight. Requests arrive aBurst at a time.
  void SetDemand(const std::string& aOrganisation,
                 const std::string& aService,
                 double aPerSecond,
                 std::map<std::string, double> aWeights,
                 unsigned aBurst = 1);
  // An operator's change by compare-and-swap. aEdit maps the stored configuration text to
  // the new one.
  void ChangeConfig(const std::string& aOperator,
                    std::function<std::string(std::string)> aEdit);
  // Has an instance issue a ticket for a named order.
  void IssueTicket(const std::string& aOrder, const std::string& aInstance);
  // Presents the ticket of a named order to an instance.
  void PresentOrder(const std::string& aOrder,
                    const std::string& aInstance,
                    const std::string& aBody);

  void RunFor(Duration aTime);
  Instant Now() const { return mNow; }

  // Measurements. The tallies start again at each ResetTallies; the rest covers the whole
  // run.
  const OrganisationTally& Tally(const std::string& aOrganisation) const;
  std::uint64_t Overshoot() const;
  // Requests refused by the rate limit beyond those that an ideal central token bucket
  // would refuse, in per cent of arrivals since the last ResetTallies.
  double WrongfulPercent() const;
  double WrongfulPercent(const std::string& aOrganisation) const;
  std::uint64_t Overruns() const; // servers that were sent more than their slots
  std::uint64_t NewWorkAfterDrain() const;
  // How often the order ran, by the servers' record.
  unsigned ExecutionCount(const std::string& aOrder) const;
  // Results that said "not run" for an attempt that did run.
  std::uint64_t FalseNotRun() const { return mFalseNotRun; }
  std::string LastAnswer(const std::string& aOrder) const;
  // Lowest and highest revision in force. Dead instances don't count; the lowest also
  // excludes frozen ones, and is 0 while an instance has no configuration.
  Revision LowestRevision() const;
  Revision HighestRevision() const;
  // How often an instance accepted a revision older than one it had since its start.
  std::uint64_t Reversions() const { return mReversions; }
  std::uint64_t StoreCalls() const { return mStoreCalls; }
  std::uint64_t ChangesAccepted() const { return mChangesAccepted; }
  std::uint64_t ChangesRefused() const { return mChangesRefused; }
  std::uint64_t Spilled() const { return mSpilled; }
  std::uint64_t Shifted() const { return mShifted; }
  bool KeyAccepted(const std::string& aInstance, const std::string& aKey) const;
  std::size_t RememberedOrders() const;
  // Slots of the service that the instance can use at once for local requests.
  unsigned FreeSlots(const std::string& aInstance, const std::string& aService) const;
  Rate HeldRate(const std::string& aInstance, const std::string& aOrganisation) const;
  // Hash over all decisions; equal runs have equal signatures.
  std::uint64_t Signature() const { return mSignature; }
  std::uint64_t Decisions() const { return mDecisions; }
  // Time from the drain's start until nothing is in flight; Duration::max() if not
  // drained.
  Duration DrainTime(const std::string& aServer) const;
  // Clears the counts per organisation, except the overshoot.
  void ResetTallies();

private:
  struct Node;
  struct FakeStore;
  struct Demand;
  using Action = std::function<void()>;

  struct Event
  {
    Instant mAt{};
    std::uint64_t mOrder = 0; // orders events at the same time
    Action mAction;
  };
  struct RunsLater
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return std::pair(aLeft.mAt, aLeft.mOrder) > std::pair(aRight.mAt, aRight.mOrder);
    }
  };

  void Schedule(Instant aTime, Action aAction);
  // Schedules an action on a node. It is dropped if the node's process has ended by then,
  // and deferred until the thaw if the node is frozen.
  void ScheduleOnNode(std::size_t aNode,
                      std::uint64_t aGeneration,
                      Duration aDelay,
                      Action aAction);
  void RunOnNode(std::size_t aNode, std::uint64_t aGeneration, Action aAction);
  std::size_t NodeOf(const std::string& aName) const;
  std::optional<std::size_t> NodeAt(const std::string& aAddress) const;
  Instant NodeNow(std::size_t aNode) const;
  bool Connected(const std::string& aLeft, const std::string& aRight) const;
  Duration Delay(const std::string& aLeft, const std::string& aRight) const;
  void StartNode(std::size_t aNode);
  void SendHeartbeats(std::size_t aNode);
  void UpdateOwnership(std::size_t aNode);
  void ProbeServers(std::size_t aNode);
  void PollConfig(std::size_t aNode);
  void ApplyConfig(std::size_t aNode, const std::string& aText);
  void RenewShares(std::size_t aNode);
  void ReleaseSharesAndStop(std::size_t aNode, int aAttemptsLeft);
  void StoreRead(std::size_t aNode,
                 const std::string& aKey,
                 std::function<void(bool, std::uint64_t, std::string)> aDone);
  void StoreSwap(std::size_t aNode,
                 const std::string& aKey,
                 std::uint64_t aVersion,
                 std::string aText,
                 std::function<void(std::optional<bool>)> aDone);
  void SendToPeer(std::size_t aFrom, std::size_t aTo, Action aAtReceiver);
  void SendReply(std::size_t aFrom,
                 std::size_t aTo,
                 std::uint64_t aToGeneration,
                 Action aAtReceiver);
  MemberStatus StatusOf(std::size_t aNode) const;
  void ReceiveHeartbeat(std::size_t aNode,
                        std::size_t aFrom,
                        const MemberStatus& aStatus);

  void Arrive(std::size_t aDemand);
  std::optional<std::size_t> PickInstance(const std::string& aDataCentre);
  void ApplyLimit(std::size_t aNode, RequestPtr aRequest, bool aFirst);
  void RequestTokens(std::size_t aNode,
                     RequestPtr aRequest,
                     std::vector<std::string> aSources,
                     std::size_t aIndex,
                     bool aFirst);
  void WaitForTokens(std::size_t aNode, RequestPtr aRequest);
  void OnAdmitted(std::size_t aNode, RequestPtr aRequest);
  void Place(std::size_t aNode, RequestPtr aRequest);
  void TryForward(std::size_t aNode,
                  RequestPtr aRequest,
                  std::vector<std::string> aAddresses,
                  std::size_t aIndex,
                  std::function<void()> aExhausted);
  void EnqueueRequest(std::size_t aNode, RequestPtr aRequest);
  void ServeWaiters(std::size_t aNode);
  void Send(std::size_t aNode,
            RequestPtr aRequest,
            Slot aSlot,
            Duration aReplyDelay,
            std::function<void(base::Result)> aDone);
  std::optional<Slot> TakeSlot(std::size_t aNode, ServiceId aService, Origin aOrigin);
  void Finish(RequestPtr aRequest, base::Result aResult);
  void RunOrder(std::size_t aNode,
                RequestPtr aRequest,
                std::function<void(base::Result)> aDone);
  void StartOrder(std::size_t aNode,
                  RequestPtr aRequest,
                  std::function<void(base::Result)> aDone,
                  int aAttemptsLeft);
  void RecordDecision(std::uint64_t aValue);

  ConfigPtr mInitialConfig;
  Options mOptions;
  Instant mNow{ std::chrono::seconds(1000) };
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, FakeBackendServer> mServers;
  std::unique_ptr<FakeStore> mStore;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::vector<std::unique_ptr<Demand>> mDemands;
  std::vector<OrganisationTally> mTallies;
  std::vector<Bucket> mOvershootBuckets; // by organisation, debited at admission
  std::vector<Bucket> mIdealBuckets;     // by organisation, debited at arrival
  std::priority_queue<Event, std::vector<Event>, RunsLater> mEvents;
  std::uint64_t mNextEventOrder = 0;
  std::uint64_t mStoreCalls = 0;
  std::uint64_t mReversions = 0;
  std::uint64_t mChangesAccepted = 0;
  std::uint64_t mChangesRefused = 0;
  std::uint64_t mSpilled = 0;
  std::uint64_t mShifted = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mLastAttempt = 0;
  std::set<std::uint64_t> mExecutedAttempts;
  std::map<std::string, unsigned> mExecutions; // by ticket
  std::map<std::string, std::string> mTickets; // by order
  std::map<std::string, std::string> mAnswers; // by order
  std::map<std::string, Duration> mDrainTimes; // by server
  std::uint64_t mSignature = 14695981039346656037ULL;
  std::uint64_t mDecisions = 0;
  std::uint64_t mLastIncarnation = 0;
};

} // namespace vanillaloft::world
