#include "entry/core.h"

#include <algorithm>

#include <sys/resource.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <prometheus/text_serializer.h>

namespace vanillaloft::entry {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2
};

const prometheus::Histogram::BucketBoundaries kForecastRatios = {
  0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8
};

struct MetricRow
{
  const char* mName;
  const char* mHelp;
};

constexpr MetricRow kGauges[] = {
  { "vanillaloft_revision", "Revision of the configuration in force." },
  { "vanillaloft_peers_alive", "Peers that answer heartbeats." },
  { "vanillaloft_store_available", "1 while the platform's store answers." },
  { "vanillaloft_share_holder", "1 while this instance holds its data centre's shares." },
  { "vanillaloft_pool_held", "1 while the pool share is held." },
  { "vanillaloft_orders_remembered", "Order tickets that have not expired." },
  { "vanillaloft_requests_running", "Requests being served." },
  { "vanillaloft_requests_waiting", "Requests that wait for free capacity." },
  { "vanillaloft_held_bytes", "Bytes of requests and answers that are held." },
  { "vanillaloft_held_bytes_budget", "Bytes that requests and answers may hold." },
  { "vanillaloft_ended_for_memory", "Requests and answers ended to make room." },
  { "vanillaloft_ended_for_descriptors", "Connections ended at their limit." },
  { "vanillaloft_idle_connections", "Idle connections to backend servers." },
  { "vanillaloft_idle_connections_displaced",
    "Idle connections to backend servers closed at their limit." },
  { "vanillaloft_log_lines_dropped",
    "Lines of the log dropped because its reader did not read or the output failed." },
  { "vanillaloft_registrations_age_seconds",
    "Age of what is known of the backend servers' registrations; -1 if nothing is." },
};

// Counters by ServerNotice.
constexpr MetricRow kNoticeCounters[] = {
  { "vanillaloft_server_leaving_total",
    "Boots of backend servers that said they leave." },
  { "vanillaloft_server_pauses_total", "Pauses that backend servers asked for." },
};

} // namespace

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mRequests(prometheus::BuildCounter()
                .Name("vanillaloft_requests_total")
                .Help("Requests by service and numbered result.")
                .Register(*mRegistry))
  , mCallers(prometheus::BuildCounter()
               .Name("vanillaloft_callers_total")
               .Help("Requests by organisation, data centre of the caller and end.")
               .Register(*mRegistry))
  , mLatency(prometheus::BuildHistogram()
               .Name("vanillaloft_request_seconds")
               .Help("Time from arrival to answer by service.")
               .Register(*mRegistry))
  , mLimitRefusals(prometheus::BuildCounter()
                     .Name("vanillaloft_limit_refusals_total")
                     .Help("Requests refused by a rate, by whether another holder may "
                           "have had tokens.")
                     .Register(*mRegistry))
  , mForecast(prometheus::BuildHistogram()
                .Name("vanillaloft_forecast_ratio")
                .Help("Time of a request at its server as a multiple of the forecast.")
                .Register(*mRegistry))
{
  for (const MetricRow& row : kGauges) {
    auto& family =
      prometheus::BuildGauge().Name(row.mName).Help(row.mHelp).Register(*mRegistry);
    mGauges[row.mName] = &family.Add({});
  }
  for (std::size_t i = 0; i < mNotices.size(); ++i) {
    const MetricRow& row = kNoticeCounters[i];
    auto& family =
      prometheus::BuildCounter().Name(row.mName).Help(row.mHelp).Register(*mRegistry);
    mNotices[i] = &family.Add({});
  }
  auto& storeCalls = prometheus::BuildCounter()
                       .Name("vanillaloft_store_calls_total")
                       .Help("Calls to the platform's store by kind.")
                       .Register(*mRegistry);
  for (std::size_t kind = 0; kind < mStoreCalls.size(); ++kind) {
    mStoreCalls[kind] =
      &storeCalls.Add({ { "kind", std::string(store::kCallKindNames[kind]) } });
  }
}

void Metrics::CountStoreCall(store::CallKind aKind)
{
  mStoreCalls[static_cast<std::size_t>(aKind)]->Increment();
}

std::string Metrics::StoreCallsText() const
{
  std::string text;
  for (std::size_t kind = 0; kind < mStoreCalls.size(); ++kind) {
    text +=
      fmt::format("{}={:.0f} ", store::kCallKindNames[kind], mStoreCalls[kind]->Value());
  }
  return text;
}

void Metrics::CountRequest(const std::string& aService, Result aResult, Duration aLatency)
{
  std::string result = std::to_string(static_cast<unsigned>(aResult));
  mRequests.Add({ { "service", aService }, { "result", result } }).Increment();
  mLatency.Add({ { "service", aService } }, kLatencySeconds)
    .Observe(std::chrono::duration<double>(aLatency).count());
}

void Metrics::CountCaller(const decide::RequestGroups& aGroups, CallerEnd aEnd)
{
  std::pair<std::string, std::string> pair{ aGroups.mOrganisation, aGroups.mDataCentre };
  if (!mCallerCounters.contains(pair) && mCallerCounters.size() >= kMaxCallerPairs) {
    pair = { "other", "other" };
  }
  prometheus::Counter*& counter = mCallerCounters[pair][static_cast<std::size_t>(aEnd)];
  if (!counter) {
    counter = &mCallers.Add(
      { { "organisation", pair.first },
        { "data_centre", pair.second },
        { "end", std::string(kCallerEndNames[static_cast<std::size_t>(aEnd)]) } });
  }
  counter->Increment();
}

void Metrics::CountLimitRefusal(bool aElsewhere)
{
  mLimitRefusals.Add({ { "elsewhere", aElsewhere ? "yes" : "no" } }).Increment();
}

void Metrics::ObserveForecast(const std::string& aService,
                              const std::string& aRoute,
                              Duration aExpected,
                              Duration aActual)
{
  mForecast.Add({ { "service", aService }, { "route", aRoute } }, kForecastRatios)
    .Observe(double(aActual.count()) /
             double(std::max<Duration::rep>(1, aExpected.count())));
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

std::size_t DescriptorLimit(const InstanceSettings& aSettings)
{
  if (aSettings.mMaxDescriptors > 0) {
    return aSettings.mMaxDescriptors;
  }
  rlimit allowed{};
  getrlimit(RLIMIT_NOFILE, &allowed);
  return allowed.rlim_cur;
}

Core::Core(boost::asio::io_context& aContext,
           const base::Clock& aClock,
           InstanceSettings aSettings,
           base::Incarnation aSelf,
           std::string aSecret)
  : mContext(aContext)
  , mClock(aClock)
  , mSettings(std::move(aSettings))
  , mMembers(aSelf.mAddress, mSettings.mDataCentre, mSettings.mMemberTimeout)
  , mSteer(mSettings.mDataCentre)
  , mFleet(mSettings.mDataCentre, mMembers, mSettings.mMaxShiftFraction)
  , mShares(aSelf, mSettings.mDataCentre, mSettings.mShareClaimDelay)
  , mLedger(aSelf, std::move(aSecret), mSettings.mTicketLifetime)
  , mPeers(aContext)
  , mMemory(aContext,
            aClock,
            MessageBudget(mSettings.mMemoryBytes > 0 ? mSettings.mMemoryBytes
                                                     : kDefaultMemoryBytes))
  , mIdle(aContext, aClock, MaxIdleConnections(DescriptorLimit(mSettings)))
  , mSelf(aSelf)
{
}

decide::RevisionCheck Core::AcceptConfig(decide::ConfigPtr aConfig)
{
  bool first = !Config();
  decide::RevisionCheck check = mAcceptor.Accept(std::move(aConfig));
  if (check != decide::RevisionCheck::Accepted) {
    return check;
  }
  mSteer.SetConfig(Config(), Now());
  mFleet.SetConfig(Config());
  mShares.SetConfig(Config(), Now());
  mMetrics.Gauge("vanillaloft_revision").Set(double(Config()->mRevision));
  base::Log(spdlog::level::info,
            base::Event::ConfigurationInForce,
            "revision={} digest={}",
            Config()->mRevision,
            Config()->mDigest);
  if (first) {
    mFirstConfigAt = Now();
  }
  return check;
}

bool Core::IsReady() const
{
  if (!Config() || mStopped) {
    return false;
  }
  if (mShares.IsHolder()) {
    return true;
  }
  return mMembers.HasShareHolder(Now()) || Now() - mFirstConfigAt >= kShareHolderTimeout;
}

Duration Core::HeartbeatInterval() const
{
  return IsReady() ? mSettings.mHeartbeatInterval
                   : std::min(mSettings.mHeartbeatInterval, kNotReadyHeartbeatInterval);
}

void Core::ConfirmRevision(Duration aAge)
{
  mConfirmedAt = std::max(mConfirmedAt, Now() - aAge);
  RecordStoreAnswer(Now() - aAge);
}

Duration Core::ConfirmedAge() const
{
  return mConfirmedAt == Instant() ? Duration::max() : Now() - mConfirmedAt;
}

// If the instance has heartbeats from every data centre and none of them reaches the
// store, no withdrawal can have been written. If it is cut off from some data centres,
// one may have been written there.
bool Core::KeysUnconfirmed() const
{
  bool noneMissed = mSettings.mWithdrawalPath == WithdrawalPath::ViaInstances &&
                    mMembers.EveryDataCentreAlive(Now());
  return ConfirmedAge() > mSettings.mMaxConfirmationAge && !noneMissed;
}

// A call to a peer that is cancelled may have arrived there, and its request is told so.
void Core::EndOverdueWaits()
{
  EndOverdue(mWaits, mStop, Now());
  if (mStop.IsOver(decide::StopWait::Answer, Now())) {
    mPeers.EndCalls();
  }
}

void Core::LogHeldRequests() const
{
  using std::chrono::milliseconds;
  for (const Exchange* exchange : mHeld.All()) {
    base::Log(
      spdlog::level::info,
      base::Event::RequestHeld,
      "request={} for_peer={} waits_for={} held_ms={} left_ms={}",
      exchange->mRequestId,
      exchange->mCaller == nullptr,
      kServeStepNames.at(static_cast<std::size_t>(exchange->mStep)),
      std::chrono::duration_cast<milliseconds>(Now() - exchange->mArrival).count(),
      TimeLeft(*exchange).count());
  }
}

Awaitable<void> Core::Sleep(Duration aTime)
{
  boost::asio::steady_timer timer(mContext, aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

void Core::RecordOwnStoreAnswer()
{
  Instant now = Now();
  mStorePath.RecordAnswer(now);
  if (!mStoreReturn.RecordAnswer(now)) {
    return;
  }
  if (mTellPeers && mStoreReturn.AgeToTell(now) == Duration::zero()) {
    mTellPeers();
  }
  if (mOnStoreReturned) {
    mOnStoreReturned();
  }
}

void Core::RecordOwnStoreFailure(Instant aSentAt)
{
  mStorePath.RecordFailure();
  mStoreReturn.RecordFailure(aSentAt);
}

void Core::RecordStoreReturn(Instant aAt)
{
  if (mStoreReturn.RecordTold(aAt) && mOnStoreReturned) {
    mOnStoreReturned();
  }
}

void Core::SetStoreAvailable()
{
  RecordStoreAnswer(Now());
  RecordOwnStoreAnswer();
  LogStoreAvailable(true);
}

void Core::SetStoreUnavailable(Instant aSentAt)
{
  RecordOwnStoreFailure(aSentAt);
  LogStoreAvailable(false);
}

void Core::LogStoreAvailable(bool aAvailable)
{
  if (aAvailable == mStoreAvailable) {
    return;
  }
  mStoreAvailable = aAvailable;
  base::Event event =
    aAvailable ? base::Event::StoreAvailable : base::Event::StoreUnavailable;
  base::Log(spdlog::level::warn, event, "");
}

Duration Core::RegistrationsAge() const
{
  return ReplicaAge(store::StoreSection::Registrations).value_or(Duration::max());
}

std::optional<Duration> Core::ReplicaAge(store::StoreSection aSection) const
{
  const std::optional<Instant>& asOf = ReplicaOf(aSection).AsOf();
  return asOf ? std::optional(Now() - *asOf) : std::nullopt;
}

double Core::RetryBudgetCap() const
{
  if (mSettings.mFleetRetryBudgetCap <= 0) {
    return kRetryBudgetCap;
  }
  return mSettings.mFleetRetryBudgetCap / double(mMembers.AliveCount(Now()) + 1);
}

decide::MemberStatus Core::Status() const
{
  decide::MemberStatus status;
  status.mSelf = mSelf;
  status.mDataCentre = mSettings.mDataCentre;
  status.mEntryAddress =
    mSettings.mListen.mHost + ":" + std::to_string(mSettings.mListen.mPort);
  status.mWeight = mSettings.mWeight;
  status.mAddressDigest = mMembers.AddressDigest();
  status.mReady = IsReady();
  status.mLeaving = mLeaving;
  status.mHoldsShares = mShares.IsHolder();
  status.mHasStorePath = mStorePath.Confirmed(Now());
  status.mRevision = Config() ? Config()->mRevision : 0;
  status.mDigest = Config() ? Config()->mDigest : "";
  status.mConfirmedAge = ConfirmedAge();
  status.mFreeSlots = mSteer.FreeSlotsByService(decide::Origin::Local, Now());
  status.mRemoteSlots = mSteer.FreeSlotsByService(decide::Origin::Remote, Now());
  return status;
}

decide::RequestGroups GroupsOf(const Exchange& aExchange, const Core& aCore)
{
  decide::DataCentreId centre;
  if (aExchange.mCaller) {
    centre = aExchange.mConfig->mClientBlocks.Find(aExchange.mCaller->mAddress);
  }
  return { aExchange.OrganisationNameOr(""),
           centre.IsNone() ? aCore.mSettings.mDataCentre
                           : aExchange.mConfig->mDataCentres[centre.Value()].mName,
           aExchange.MatchedRoute().mPath };
}

} // namespace vanillaloft::entry
