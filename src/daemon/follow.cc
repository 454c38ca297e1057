#include "daemon/follow.h"

#include "entry/background.h"
#include "entry/replication.h"

namespace vanillaloft::daemon {

using base::Event;
using base::Log;

namespace {

// The answer to a watch that waits arrives within this time of its end. One that is
// later counts as lost.
constexpr std::chrono::milliseconds kWatchAnswerTime{ 250 };
// A watch that is to show at once how recent the copy is, or whether the store answers.
// It waits a little, because changes often come close together. A slow store has more
// time for the answer.
constexpr store::WatchTime kQuickWatchTime{ std::chrono::milliseconds(50),
                                            std::chrono::milliseconds(600) };
// Time between the starts of two calls, so that changes close together arrive in one
// batch.
constexpr Duration kBatchInterval = std::chrono::milliseconds(400);
// How long the watcher may wait for news before it answers, and the time for its answer
// to arrive.
constexpr std::chrono::milliseconds kWatcherWait{ 600 };
constexpr std::chrono::milliseconds kWatcherSlack{ 500 };
// Shortest time between two calls to the watcher.
constexpr Duration kWatcherCallInterval = std::chrono::milliseconds(20);
// After a failed call.
constexpr Duration kRetryInterval = std::chrono::milliseconds(150);
constexpr int kConfirmCheckMs = 300;  // between two checks of the confirmation's age
constexpr int kConfirmJitterMs = 300; // random addition, so that reads spread out
// After a read while the watcher's copy should confirm the configuration.
constexpr Duration kSharedConfirmInterval = std::chrono::seconds(2);
// Shortest time between two log lines about failures, because every retry may fail.
constexpr Duration kFailureLogInterval = std::chrono::seconds(1);

decide::CopyLimits LimitsOf(store::StoreSection aSection)
{
  return aSection == store::StoreSection::Registrations ? decide::kRegistrationLimits
                                                        : decide::kOperatorDataLimits;
}

// True if one instance of a data centre with these others watches for all.
bool IsEnoughToShare(const std::vector<decide::WatcherCandidate>& aMates)
{
  return aMates.size() >= decide::kMinMatesToShare;
}

long long Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

void Follower::Start()
{
  mCore.mOnItemsChanged = [this](const std::vector<store::Item>& aItems) {
    ApplyItems(aItems);
  };
  mCore.mOnStoreReturned = [this] { AbandonLostWatches(); };
  mCore.mOnPeerAhead = [this](store::StoreSection aSection, Instant aSince) {
    AbandonLateWatch(aSection, aSince);
  };
  entry::SpawnLoop(mCore.mContext, "follow-operators", [this] {
    return FollowPrefix(store::StoreSection::OperatorData, mDecoder.OperatorPrefix());
  });
  entry::SpawnLoop(mCore.mContext, "follow-registrations", [this] {
    return FollowPrefix(store::StoreSection::Registrations, mDecoder.ServerPrefix());
  });
  entry::SpawnLoop(
    mCore.mContext, "confirm-config", [this] { return ConfirmConfigLoop(); });
}

Awaitable<void> Follower::FollowPrefix(store::StoreSection aSection, std::string aPrefix)
{
  store::Replica& replica = mCore.ReplicaOf(aSection);
  PrefixState& state = mStates[static_cast<std::size_t>(aSection)].emplace(PrefixState{
    aSection, replica, std::move(aPrefix), decide::FollowPlan(LimitsOf(aSection)) });
  for (;;) {
    Duration delay{};
    decide::FollowStep step = NextStep(state);
    std::string watcher = mWatcherAddress;
    bool hadCopy = replica.HasListing();
    if (step == decide::FollowStep::AskWatcher) {
      delay = co_await CallWatcher(state, watcher);
    } else {
      delay = co_await CallStore(state, TimeOf(step, state));
    }
    bool storeAnsweredInstead =
      step == decide::FollowStep::AskStore && hadCopy && state.mFailures == 0;
    if (storeAnsweredInstead && watcher != mCore.Self().mAddress) {
      RejectWatcher(watcher, "its copy was too old");
    }
    co_await mCore.Sleep(delay);
  }
}

bool Follower::IsShared() const
{
  return IsEnoughToShare(mCore.mMembers.WatcherCandidates(mCore.Now()));
}

decide::FollowStep Follower::NextStep(PrefixState& aState)
{
  Instant now = mCore.Now();
  bool eligible = !mCore.mLeaving && !mCore.mStorePath.Lost(now);
  std::vector<decide::WatcherCandidate> mates = mCore.mMembers.WatcherCandidates(now);
  bool shared = IsEnoughToShare(mates);
  std::string watcher = mWatcher.Update(mates, eligible, now);
  if (shared && watcher != mWatcherAddress) {
    Log(spdlog::level::info, Event::WatcherChosen, "watcher={}", watcher);
  }
  mWatcherAddress = watcher;
  return aState.mPlan.Next(
    shared, watcher == mCore.Self().mAddress, mCore.ReplicaAge(aState.mSection), now);
}

store::WatchTime Follower::TimeOf(decide::FollowStep aStep,
                                  const PrefixState& aState) const
{
  using std::chrono::milliseconds;
  const decide::Members& members = mCore.mMembers;
  Instant now = mCore.Now();
  Duration wait{};
  switch (aStep) {
    case decide::FollowStep::WatchForSelf:
      wait =
        aState.mPlan.OwnWatchTime(members.AliveBefore(now), members.AliveCount(now) + 1);
      break;
    case decide::FollowStep::WatchForOthers:
      wait = aState.mPlan.Limits().mWatchTime;
      break;
    default:
      return kQuickWatchTime;
  }
  return { std::chrono::floor<milliseconds>(wait), kWatchAnswerTime };
}

void Follower::AbandonLostWatches()
{
  for (std::optional<PrefixState>& state : mStates) {
    bool inFlight = state && state->mWatch;
    if (inFlight && mCore.mStoreReturn.MayHaveLost(state->mWatch->mRequestedAt)) {
      AbandonWatch(*state, "the store was silent");
    }
  }
}

// A quick watch ends by itself.
void Follower::AbandonLateWatch(store::StoreSection aSection, Instant aSince)
{
  std::optional<PrefixState>& state = mStates[static_cast<std::size_t>(aSection)];
  bool waits =
    state && state->mWatch && state->mWatch->mTime.mWait > kQuickWatchTime.mWait;
  if (waits && mCore.Now() - std::max(aSince, state->mWatch->mRequestedAt) >=
                 decide::kMaxWatchLag) {
    AbandonWatch(*state, "a peer has newer changes");
  }
}

void Follower::AbandonWatch(PrefixState& aState, const char* aCause)
{
  aState.mAbandonedBecause = aCause;
  mFeed.AbandonWatch(aState.mPrefix);
}

// Changes close together arrive in one batch, because calls start kBatchInterval apart.
Awaitable<Duration> Follower::CallStore(PrefixState& aState, store::WatchTime aTime)
{
  bool isListing = !aState.mReplica.HasListing() || aState.mHistoryCompacted;
  FeedCall call{ isListing, aTime, mCore.Now(), aState.mReplica.AsOf() };
  aState.mAbandonedBecause = nullptr;
  try {
    std::size_t items = co_await CallFeed(aState, call);
    RecordSuccess(aState, call, items);
    bool waited = !isListing && aTime.mWait > kQuickWatchTime.mWait;
    aState.mPlan.StoreAnswered(waited && items == 0);
    mCore.NotifyReplicaNews(aState.mSection);
    ConfirmConfigFromReplica();
  } catch (const store::HistoryCompacted& error) {
    mCore.SetStoreAvailable();
    RecordFailure(aState, call, error.what());
    aState.mHistoryCompacted = true;
    co_return Duration::zero();
  } catch (const std::exception& error) {
    if (aState.mAbandonedBecause) {
      Log(spdlog::level::info,
          Event::WatchAbandoned,
          "{} cause={}",
          Describe(aState, call),
          aState.mAbandonedBecause);
      aState.mPlan.WatchAbandoned();
      co_return Duration::zero();
    }
    RecordFailure(aState, call, error.what());
    mCore.RecordOwnStoreFailure(call.mRequestedAt);
    aState.mPlan.StoreFailed(mCore.Now());
    co_return kRetryInterval;
  }
  Duration sinceCall = mCore.Now() - call.mRequestedAt;
  co_return std::max(kBatchInterval - sinceCall, Duration::zero());
}

// A call with a shortened timeout proves nothing about the watcher; the store is asked
// next.
Awaitable<Duration> Follower::CallWatcher(PrefixState& aState, std::string aWatcher)
{
  constexpr std::chrono::milliseconds kFullTimeout = kWatcherWait + kWatcherSlack;
  Instant calledAt = mCore.Now();
  auto timeout = std::chrono::ceil<std::chrono::milliseconds>(
    aState.mPlan.WatcherTimeout(mCore.ReplicaAge(aState.mSection), kFullTimeout));
  bool answered = false;
  try {
    answered =
      co_await entry::FetchItems(mCore, aWatcher, aState.mSection, kWatcherWait, timeout);
  } catch (const peer::PeerError& error) {
    spdlog::debug("the watcher {} did not answer: {}", aWatcher, error.what());
  }
  Duration took = mCore.Now() - calledAt;
  if (answered) {
    ConfirmConfigFromReplica();
  } else if (took < timeout || timeout == kFullTimeout) {
    RejectWatcher(aWatcher, "no answer");
  }
  co_return std::max(kWatcherCallInterval - took, Duration::zero());
}

void Follower::RejectWatcher(const std::string& aWatcher, const char* aCause)
{
  Log(
    spdlog::level::info, Event::WatcherRejected, "watcher={} cause={}", aWatcher, aCause);
  mWatcher.Reject(aWatcher, mCore.Now());
}

Awaitable<store::ItemBatch> Follower::Watch(PrefixState& aState, FeedCall aCall)
{
  aState.mWatch = aCall;
  store::ItemBatch changes;
  try {
    changes = co_await mFeed.WatchChanges(
      aState.mPrefix, aState.mReplica.Position().mCompleteRevision, aCall.mTime);
  } catch (...) {
    aState.mWatch.reset();
    throw;
  }
  aState.mWatch.reset();
  co_return changes;
}

// A watch starts after the replica's current revision, whether the replica got it from
// the store or from a peer. The result counts as of the time of the request, because the
// time at which the store created the response is not known.
Awaitable<std::size_t> Follower::CallFeed(PrefixState& aState, FeedCall aCall)
{
  store::Replica& replica = aState.mReplica;
  store::ItemBatch items;
  std::vector<store::Item> changed;
  if (aCall.mIsListing) {
    items = co_await mFeed.List(aState.mPrefix);
    mCore.SetStoreAvailable();
    changed = replica.ApplyListing(items, aCall.mRequestedAt);
    aState.mHistoryCompacted = false;
  } else {
    items = co_await Watch(aState, aCall);
    mCore.SetStoreAvailable();
    changed = replica.ApplyChanges(items, aCall.mRequestedAt);
  }
  ApplyItems(changed);
  co_return items.mItems.size();
}

// Formats the call and the state of its prefix for the log.
std::string Follower::Describe(const PrefixState& aState, const FeedCall& aCall) const
{
  return fmt::format("prefix={} call={} took_ms={} revision={} failures={} age_ms={}",
                     aState.mPrefix,
                     aCall.mIsListing ? "list" : "changes",
                     Milliseconds(mCore.Now() - aCall.mRequestedAt),
                     aState.mReplica.Position().mCompleteRevision,
                     aState.mFailures,
                     aCall.mReplicaAsOf ? Milliseconds(mCore.Now() - *aCall.mReplicaAsOf)
                                        : -1);
}

void Follower::RecordSuccess(PrefixState& aState,
                             const FeedCall& aCall,
                             std::size_t aItems)
{
  if (aCall.mIsListing || aState.mFailures > 0) {
    Log(spdlog::level::info,
        Event::FeedRead,
        "{} items={}",
        Describe(aState, aCall),
        aItems);
  }
  aState.mFailures = 0;
  aState.mFailureLoggedAt = {};
}

void Follower::RecordFailure(PrefixState& aState,
                             const FeedCall& aCall,
                             const char* aCause)
{
  ++aState.mFailures;
  if (aState.mFailureLoggedAt != Instant() &&
      mCore.Now() - aState.mFailureLoggedAt < kFailureLogInterval) {
    return;
  }
  aState.mFailureLoggedAt = mCore.Now();
  Log(spdlog::level::warn,
      Event::FeedFailed,
      "{} cause={}",
      Describe(aState, aCall),
      aCause);
}

// An item that fails must not keep the others from being applied, because the replica
// has them already and reports no item twice.
void Follower::ApplyItems(const std::vector<store::Item>& aItems)
{
  for (const store::Item& item : aItems) {
    try {
      ApplyItem(item);
    } catch (const std::exception& error) {
      ApplyDecoded(UnreadableItem{ item.mKey + ": " + error.what(), {} });
    }
  }
}

void Follower::ApplyItem(const store::Item& aItem)
{
  bool isConfig = aItem.mKey == mDecoder.ConfigKey();
  if (isConfig) {
    mReplicaConfig = nullptr; // stays so if the item cannot be decoded
  }
  DecodedItem decoded = mDecoder.Decode(aItem);
  if (const auto* config = std::get_if<decide::ConfigPtr>(&decoded); isConfig && config) {
    mReplicaConfig = *config;
  }
  std::visit([this](const auto& aDecoded) { ApplyDecoded(aDecoded); }, decoded);
}

void Follower::ApplyDecoded(const decide::ConfigPtr& aConfig)
{
  decide::RevisionCheck check = mCore.AcceptConfig(aConfig);
  if (check == decide::RevisionCheck::Older) {
    Log(spdlog::level::warn,
        Event::ConfigurationOlderIgnored,
        "from=store offered={} in_force={}",
        aConfig->mRevision,
        mCore.Config()->mRevision);
  }
}

void Follower::ApplyDecoded(const decide::Registration& aRegistration)
{
  const auto& servers = mCore.mFleet.Servers();
  auto known = servers.find(aRegistration.mId);
  bool changed = known == servers.end() ||
                 !known->second->mRegistration.IsSameIncarnation(aRegistration) ||
                 known->second->mRegistration.mDraining != aRegistration.mDraining;
  if (changed) {
    Log(spdlog::level::info,
        Event::BackendServerState,
        "server={} service={} data_centre={} state={} cold_ms={}",
        aRegistration.mId,
        aRegistration.mService,
        aRegistration.mDataCentre,
        aRegistration.mDraining ? "draining" : "ready",
        std::chrono::duration_cast<std::chrono::milliseconds>(aRegistration.mColdLeft)
          .count());
  }
  mCore.mFleet.Register(aRegistration, mCore.Now());
}

void Follower::ApplyDecoded(const ServerDeregistered& aServer)
{
  Duration grace = decide::LapsedServerGrace(mCore.LastOutageEnd(), mCore.Now());
  if (grace > Duration::zero() && mCore.mFleet.Servers().contains(aServer.mId)) {
    Log(spdlog::level::info,
        Event::BackendServerState,
        "server={} state=missing kept_ms={}",
        aServer.mId,
        Milliseconds(grace));
    entry::Spawn(
      mCore.mContext, "lapsed-server", DeregisterAfterGrace(aServer.mId, grace));
    return;
  }
  Log(
    spdlog::level::info, Event::BackendServerState, "server={} state=gone", aServer.mId);
  mCore.mFleet.Deregister(aServer.mId);
}

// Removes a server whose registration lapsed around an outage of the store, unless it
// registers again within the grace period: the server may only have been unable to renew
// its registration.
Awaitable<void> Follower::DeregisterAfterGrace(std::string aId, Duration aGrace)
{
  decide::ServerPtr server = mCore.mFleet.Servers().at(aId);
  server->mLapsed = true;
  co_await mCore.Sleep(aGrace);
  auto found = mCore.mFleet.Servers().find(aId);
  if (found != mCore.mFleet.Servers().end() && found->second == server &&
      server->mLapsed) {
    Log(spdlog::level::info, Event::BackendServerState, "server={} state=lapsed", aId);
    mCore.mFleet.Deregister(aId);
  }
}

void Follower::ApplyDecoded(const Evacuation& aEvacuation)
{
  Log(spdlog::level::info,
      Event::DataCentreEvacuated,
      "data_centre={} active={}",
      aEvacuation.mDataCentre,
      aEvacuation.mActive);
  mCore.mFleet.SetEvacuated(aEvacuation.mDataCentre, aEvacuation.mActive);
}

void Follower::ApplyDecoded(const UnreadableItem& aItem)
{
  Log(spdlog::level::warn,
      Event::ItemUnreadable,
      "cause={}",
      base::Printable(aItem.mCause));
  if (aItem.mServerId && mCore.mFleet.Servers().contains(*aItem.mServerId)) {
    ApplyDecoded(ServerDeregistered{ *aItem.mServerId });
  }
}

// Reads the configuration from the store when the last confirmation is too old. Peers
// relay their confirmations, so while the store is available few instances read it, and
// none in a data centre whose watcher's copy confirms the configuration.
Awaitable<void> Follower::ConfirmConfigLoop()
{
  for (;;) {
    int jitterMs = static_cast<int>(mRandom() % kConfirmJitterMs);
    co_await mCore.Sleep(std::chrono::milliseconds(kConfirmCheckMs + jitterMs));
    bool shared = IsShared();
    Duration maxAge =
      shared ? decide::kMaxSharedConfirmAge : mCore.mMembers.MaxConfirmAge(mCore.Now());
    if (mCore.ConfirmedAge() >= maxAge) {
      co_await ConfirmConfigOnce();
      co_await mCore.Sleep(shared ? kSharedConfirmInterval : Duration::zero());
    }
  }
}

// The replica of the operators' data is complete as of its time, so it confirms the
// configuration that it contains as of then.
void Follower::ConfirmConfigFromReplica()
{
  std::optional<Duration> age = mCore.ReplicaAge(store::StoreSection::OperatorData);
  if (age && mReplicaConfig && IsInForce(*mReplicaConfig)) {
    mCore.ConfirmRevision(*age);
  }
}

// True if the configuration or a newer one is in force. Otherwise the one in force may
// contain a key that the other no longer has.
bool Follower::IsInForce(const decide::Config& aConfig) const
{
  const decide::ConfigPtr& current = mCore.Config();
  return current &&
         (current->mRevision > aConfig.mRevision || current->mDigest == aConfig.mDigest);
}

// Applies the store's configuration. Returns true if it or a newer one is in force, which
// may have arrived while the store was being read.
bool Follower::ApplyConfig(const store::Item& aItem)
{
  DecodedItem decoded = mDecoder.Decode(aItem);
  const auto* config = std::get_if<decide::ConfigPtr>(&decoded);
  std::visit([this](const auto& aDecoded) { ApplyDecoded(aDecoded); }, decoded);
  return config && IsInForce(**config);
}

// The confirmation counts from the time before the read was sent.
Awaitable<void> Follower::ConfirmConfigOnce()
{
  Instant requestedAt = mCore.Now();
  try {
    store::Value value = co_await mStore.Read(mDecoder.ConfigKey());
    mCore.SetStoreAvailable();
    if (value.mVersion == 0) {
      co_return;
    }
    if (ApplyConfig({ mDecoder.ConfigKey(), value.mText, value.mVersion, false })) {
      mCore.ConfirmRevision(mCore.Now() - requestedAt);
    }
  } catch (const store::StoreError& error) {
    spdlog::debug("failed to confirm the configuration: {}", error.what());
    mCore.SetStoreUnavailable(requestedAt);
  }
}

} // namespace vanillaloft::daemon
