// The state of one entry instance: the decision objects, all used on one thread, and the
// counters that operators see.
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
#include "decide/retry.h"
#include "decide/share.h"
#include "decide/steer.h"
#include "decide/ticket.h"
#include "peer/peer.h"
#include "store/replica.h"

namespace vanillaloft::entry {

using base::Duration;
using base::Instant;
using base::Result;
template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// Without confirmation for longer, withdrawals may have been missed.
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(3);

// Retries that one instance may save up for each service.
constexpr double kRetryBudgetCap = 10;

// Who may withdraw a key, as far as an instance that is cut off can tell.
enum class WithdrawalPath : std::uint8_t
{
  ViaInstances, // nobody, while no instance that it hears reaches the store
  ViaStore,     // operators may reach the store where no instance does
};

// Reads a configuration text; throws ConfigError.
using ConfigParser = std::function<decide::ConfigPtr(std::string_view)>;

// An instance that knows no holder of shares waits this long before it serves all the
// same, what needs no tokens.
constexpr Duration kShareHolderTimeout = std::chrono::seconds(10);
// Time between heartbeats of an instance that is not ready: it looks for such a holder.
constexpr Duration kNotReadyHeartbeatInterval = std::chrono::milliseconds(250);

// Settings of one instance, checked at its start.
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
  // A stopping instance takes new requests for at most this long; zero: until callers'
  // cached answers have expired.
  Duration mStopAcceptPeriod{};
  Duration mRenewInterval = decide::kRenewInterval; // of shares
  Duration mHeartbeatInterval = decide::kHeartbeatInterval;
  Duration mMemberTimeout = decide::kMemberTimeout;
  Duration mMaxConfirmationAge = kMaxConfirmationAge;
  WithdrawalPath mWithdrawalPath = WithdrawalPath::ViaInstances;
  // Retries that the whole fleet may save up for a service; zero: kRetryBudgetCap for
  // each instance.
  double mFleetRetryBudgetCap = 0;
  // Share of the requests that may change their region within decide::kShiftWindow.
  double mMaxShiftFraction = 1;
  // A new instance waits this long before it takes shares.
  Duration mShareClaimDelay = decide::kNewHolderWait;
  ConfigParser mParseConfig = decide::ParseConfig;
};

// Prometheus metrics of one instance.
class Metrics
{
public:
  Metrics();
  // Counts a request by service and result and observes its latency.
  void CountRequest(const std::string& aService, Result aResult, Duration aLatency);
  prometheus::Gauge& Gauge(const std::string& aName) { return *mGauges.at(aName); }
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mLatency;
  std::map<std::string, prometheus::Gauge*> mGauges;
};

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

  // Puts a configuration in force everywhere in the instance if it is newer.
  decide::RevisionCheck AcceptConfig(decide::ConfigPtr aConfig);
  // Notes that the store, or a peer that asked it aAge ago, confirmed the revision in
  // force.
  void ConfirmRevision(Duration aAge);
  // Time since the last confirmation; Duration::max() if there was none.
  Duration ConfirmedAge() const;
  // True while a withdrawal may have been accepted without reaching this instance.
  bool KeysUnconfirmed() const;
  // True once requests can be served: the configuration is in force and a holder of
  // shares is known, or none became known for kShareHolderTimeout.
  bool IsReady() const;
  // Until the next heartbeats.
  Duration HeartbeatInterval() const;

  // Retries that this instance may save up for a service.
  double RetryBudgetCap() const;

  // Waits on the runtime's clock.
  Awaitable<void> Sleep(Duration aTime);
  // Takes note of whether the store answers this instance; a change is logged.
  void SetStoreAvailable(bool aAvailable);
  // Takes note of an answer that this instance or a peer had to what it asked then.
  void RecordStoreAnswer(Instant aAsked) { mStoreOutage.RecordAnswer(aAsked, Now()); }
  // The end of the last outage of the store, see decide::StoreOutage.
  std::optional<Instant> LastOutageEnd() const { return mStoreOutage.LastEnd(Now()); }

  store::Replica& ReplicaOf(store::StoreSection aPart)
  {
    return mReplicas[static_cast<std::size_t>(aPart)];
  }
  const store::Replica& ReplicaOf(store::StoreSection aPart) const
  {
    return mReplicas[static_cast<std::size_t>(aPart)];
  }

  // Age of what is known of the backend servers' registrations; Duration::max() if they
  // were never read.
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
  bool mLeaving = false; // not named by look-ups, still serving
  bool mStopped = false; // takes no new requests
  // What this instance knows of the store's parts that it follows, from the store or from
  // peers.
  std::array<store::Replica, store::kStoreSectionCount> mReplicas;
  // Takes what changed in a part; empty while nothing is followed.
  std::function<void(const std::vector<store::Item>&)> mOnItemsChanged;
  bool mStoreAvailable = false;
  unsigned mRequestsInFlight = 0; // requests being served

private:
  base::Incarnation mSelf;
  decide::Acceptor mAcceptor;
  Instant mConfirmedAt{};
  decide::StoreOutage mStoreOutage;
  Instant mFirstConfigAt{};
};

} // namespace vanillaloft::entry
