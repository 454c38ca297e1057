// The state of one entry instance: the decision objects, all used on one thread, and the
// metrics for operators.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "base/clock.h"
#include "base/event.h"
#include "base/result.h"
#include "base/settings.h"
#include "decide/accept.h"
#include "decide/fleet.h"
#include "decide/member.h"
#include "decide/outage.h"
#include "decide/overload.h"
#include "decide/retry.h"
#include "decide/share.h"
#include "decide/steer.h"
#include "decide/stop.h"
#include "decide/ticket.h"
#include "entry/exchange.h"
#include "entry/idle.h"
#include "entry/memory.h"
#include "entry/signal.h"
#include "entry/waits.h"
#include "peer/peer.h"
#include "store/calls.h"
#include "store/replica.h"

namespace vanillaloft::entry {

using base::Duration;
using base::Instant;
using base::Result;
template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// If the revision in force was not confirmed for longer than this, the instance may have
// missed the withdrawal of a key.
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(3);

// Default capacity of an instance's retry budget, in retries per service.
constexpr double kRetryBudgetCap = 10;

// How withdrawals of keys reach the store. An instance that is cut off from the store
// decides by this whether it may have missed one.
enum class WithdrawalPath : std::uint8_t
{
  ViaInstances, // impossible while no instance reaches the store
  ViaStore,     // possible from operators even if no instance reaches the store
};

// Parses the text of a configuration; throws ConfigError.
using ConfigParser = std::function<decide::ConfigPtr(std::string_view)>;

// An instance that knows no holder of shares becomes ready after this time without one.
// It then serves the requests that need no tokens.
constexpr Duration kShareHolderTimeout = std::chrono::seconds(10);
// Interval between heartbeats while an instance is not ready, so that it finds a holder
// of shares sooner.
constexpr Duration kNotReadyHeartbeatInterval = std::chrono::milliseconds(250);

constexpr std::size_t kDefaultMemoryBytes = 1024UL * 1024 * 1024;

// Settings of one instance. They are validated at startup.
struct InstanceSettings
{
  std::string mDataCentre;
  base::HostPort mListen;   // for callers
  std::string mPeerAddress; // "ip:port" for peers
  base::HostPort mStore;
  std::string mSeeds; // "address@data-centre" separated by commas
  Duration mTicketLifetime{};
  Duration mRequestTimeout{}; // for the arrival of a whole request
  Duration mStopTimeout{};    // longest planned stop
  // A stopping instance accepts new requests for at most this long. Zero: until the
  // look-up responses that callers have cached are expired.
  Duration mStopAcceptPeriod{};
  Duration mRenewInterval = decide::kRenewInterval; // of shares
  Duration mHeartbeatInterval = decide::kHeartbeatInterval;
  Duration mMemberTimeout = decide::kMemberTimeout;
  Duration mMaxConfirmationAge = kMaxConfirmationAge;
  WithdrawalPath mWithdrawalPath = WithdrawalPath::ViaInstances;
  // Capacity of the whole fleet's retry budget for a service. Zero: kRetryBudgetCap for
  // each instance.
  double mFleetRetryBudgetCap = 0;
  // Largest fraction of the requests that may change their region within
  // decide::kShiftWindow.
  double mMaxShiftFraction = 1;
  // Time from the start of an instance to its first claim of shares.
  Duration mShareClaimDelay = decide::kNewHolderWait;
  ConfigParser mParseConfig = decide::ParseConfig;
  unsigned mWeight = 1;            // capacity for callers relative to other instances
  std::size_t mMemoryBytes = 0;    // memory of the machine; 0: kDefaultMemoryBytes
  std::size_t mMaxDescriptors = 0; // open files and sockets; 0: as the system allows
};

// Number of open files and sockets that the process may have.
std::size_t DescriptorLimit(const InstanceSettings& aSettings);

// What a backend server said of itself in a response.
enum class ServerNotice : std::uint8_t
{
  Leaving,
  Pause
};

// How a request ended for its caller.
enum class CallerEnd : std::uint8_t
{
  InTime,
  Late,       // beyond the latency target of the route
  OverRate,   // refused by the organisation's rate
  NoCapacity, // refused for lack of capacity
  Unserved    // without an answer of a server for another reason
};

constexpr std::array<std::string_view, 5> kCallerEndNames = { "in-time",
                                                              "late",
                                                              "over-rate",
                                                              "no-capacity",
                                                              "unserved" };

// Prometheus metrics of one instance.
class Metrics
{
public:
  Metrics();
  // Counts a request by service and result and observes its latency.
  void CountRequest(const std::string& aService, Result aResult, Duration aLatency);
  void CountNotice(ServerNotice aNotice) { mNotices[std::size_t(aNotice)]->Increment(); }
  // Counts a request beyond its organisation's rate. aElsewhere: another holder may have
  // had tokens.
  void CountLimitRefusal(bool aElsewhere);
  // Counts a request by the groups of its caller and by how it ended. Pairs of groups
  // beyond kMaxCallerPairs share the name "other".
  void CountCaller(const decide::RequestGroups& aGroups, CallerEnd aEnd);
  void CountStoreCall(store::CallKind aKind);
  // The store calls so far by kind, as "list=1 watch=2 ...".
  std::string StoreCallsText() const;
  // Observes the ratio of a request's time at a server to its forecast. Neither is zero.
  void ObserveForecast(const std::string& aService,
                       const std::string& aRoute,
                       Duration aExpected,
                       Duration aActual);
  prometheus::Gauge& Gauge(const std::string& aName) { return *mGauges.at(aName); }
  std::string Text() const;

private:
  static constexpr std::size_t kMaxCallerPairs = 512;
  using CallerCounters = std::array<prometheus::Counter*, kCallerEndNames.size()>;

  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Counter>& mCallers;
  // By organisation and data centre.
  std::map<std::pair<std::string, std::string>, CallerCounters> mCallerCounters;
  prometheus::Family<prometheus::Histogram>& mLatency;
  prometheus::Family<prometheus::Counter>& mLimitRefusals;
  prometheus::Family<prometheus::Histogram>& mForecast;
  std::map<std::string, prometheus::Gauge*> mGauges;
  std::array<prometheus::Counter*, 2> mNotices{}; // by ServerNotice
  std::array<prometheus::Counter*, store::kCallKindNames.size()> mStoreCalls{};
};

// The requests that the instance serves, also for peers. A planned stop waits for their
// ends.
using HeldRequests = Registry<const Exchange*>;

class Core
{
public:
  Core(boost::asio::io_context& aContext,
       const base::Clock& aClock,
       InstanceSettings aSettings,
       base::Incarnation aSelf,
       std::string aSecret);

  Instant Now() const { return mClock.Now(); }
  const decide::ConfigPtr& Config() const { return mAcceptor.Current(); }
  const base::Incarnation& Self() const { return mSelf; }

  // Applies a configuration to all parts of the instance if it is newer than the one in
  // force.
  decide::RevisionCheck AcceptConfig(decide::ConfigPtr aConfig);
  // Records that the store confirmed the revision in force, either to this instance or to
  // a peer that asked it aAge ago.
  void ConfirmRevision(Duration aAge);
  // Time since the last confirmation; Duration::max() if there was none.
  Duration ConfirmedAge() const;
  // True while the store may have accepted a withdrawal of a key that has not reached
  // this instance.
  bool KeysUnconfirmed() const;
  // True once requests can be served: a configuration is in force, and a holder of shares
  // is known or kShareHolderTimeout has passed without one.
  bool IsReady() const;
  // Interval until the next heartbeats; shorter while the instance is not ready.
  Duration HeartbeatInterval() const;

  // Capacity of this instance's retry budget for a service.
  double RetryBudgetCap() const;

  // Until when a request may start at a backend server.
  Instant DeadlineOf(const Exchange& aExchange) const
  {
    return mStop.Limit(decide::StopWait::Start, aExchange.mDeadline);
  }
  // Time until then; not above zero once it has passed.
  std::chrono::milliseconds TimeLeft(const Exchange& aExchange) const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(DeadlineOf(aExchange) -
                                                                 Now());
  }

  // Ends the waits of requests that a planned stop no longer allows.
  void EndOverdueWaits();
  // Logs the requests that are held and what each waits for.
  void LogHeldRequests() const;

  // Waits on a timer of the I/O context, not on mClock.
  Awaitable<void> Sleep(Duration aTime);
  // Records that the store responded to a call of this instance that was to show whether
  // it does, or that one sent at aSentAt got no response. Logs a change.
  void SetStoreAvailable();
  void SetStoreUnavailable(Instant aSentAt);
  // The same for any other call, without the log.
  void RecordOwnStoreAnswer();
  void RecordOwnStoreFailure(Instant aSentAt);
  // Records that a peer saw the store respond at aAt after calls without a response.
  void RecordStoreReturn(Instant aAt);
  // Records that the store responded to a request that this instance or a peer sent at
  // aRequestedAt.
  void RecordStoreAnswer(Instant aRequestedAt)
  {
    mStoreOutage.RecordAnswer(aRequestedAt, Now());
  }
  // End of the last outage of the store, see decide::StoreOutage.
  std::optional<Instant> LastOutageEnd() const { return mStoreOutage.LastEnd(Now()); }

  store::Replica& ReplicaOf(store::StoreSection aSection)
  {
    return mReplicas[static_cast<std::size_t>(aSection)];
  }
  const store::Replica& ReplicaOf(store::StoreSection aSection) const
  {
    return mReplicas[static_cast<std::size_t>(aSection)];
  }

  // Wakes the peers that wait for news of the section's replica.
  void NotifyReplicaNews(store::StoreSection aSection)
  {
    mReplicaNews[static_cast<std::size_t>(aSection)].NotifyAll();
  }

  // Age of a section's replica; none before its first listing.
  std::optional<Duration> ReplicaAge(store::StoreSection aSection) const;
  // Age of the known registrations of backend servers; Duration::max() if they were never
  // read.
  Duration RegistrationsAge() const;

  decide::MemberStatus Status() const;

  boost::asio::io_context& mContext;
  const base::Clock& mClock;
  InstanceSettings mSettings;
  decide::Members mMembers;
  decide::Steering mSteer;
  decide::Fleet mFleet;
  decide::RetryBudget mRetryBudget;
  decide::ShareHolder mShares;
  decide::TicketLedger mLedger;
  peer::Client mPeers;
  Metrics mMetrics;
  MemoryGate mMemory;
  IdleConnections mIdle; // to backend servers
  decide::GroupShares mGroups;
  decide::CallerTimeouts mCallerTimeouts;
  decide::AnswerTimes mAnswerTimes;
  decide::ReturnSchedules mReturns;
  bool mLeaving = false; // left out of look-up responses, still serving
  bool mStopped = false; // accepts no new requests
  decide::PlannedStop mStop;
  WaitRegistry mWaits; // of requests, for the planned stop
  // Replicas of the sections of the store that this instance follows, read from the store
  // or from peers.
  std::array<store::Replica, store::kStoreSectionCount> mReplicas;
  // Called with the changed items of a section; empty while nothing is followed.
  std::function<void(const std::vector<store::Item>&)> mOnItemsChanged;
  // Called when the store responds again, or when a peer is ahead of a section's replica
  // since a time; empty while nothing is followed.
  std::function<void()> mOnStoreReturned;
  std::function<void(store::StoreSection, Instant)> mOnPeerAhead;
  // Sends heartbeats to all peers at once; empty if there are none.
  std::function<void()> mTellPeers;
  // Signalled when the replica of a section got changes or a confirmation.
  std::array<Signal, store::kStoreSectionCount> mReplicaNews;
  decide::StorePath mStorePath;
  decide::StoreReturn mStoreReturn;
  bool mStoreAvailable = false;
  HeldRequests mHeld;
  std::size_t mRequestsWaiting = 0;       // for free capacity
  std::uint64_t mEndedForDescriptors = 0; // connections that ended at their limit

private:
  void LogStoreAvailable(bool aAvailable);

  base::Incarnation mSelf;
  decide::Acceptor mAcceptor;
  Instant mConfirmedAt{};
  decide::StoreOutage mStoreOutage;
  Instant mFirstConfigAt{};
};

// The groups of a routed request. Its caller's data centre is that of its address, or of
// this instance if no block of the configuration contains the address.
decide::RequestGroups GroupsOf(const Exchange& aExchange, const Core& aCore);

} // namespace vanillaloft::entry
