#include "daemon/follow.h"

#include "entry/background.h"

namespace vanillaloft::daemon {

using base::Event;
using base::Log;

namespace {

// A hanging watch cannot be told from an idle one, so each watch ends after this time and
// is sent again.
constexpr std::chrono::milliseconds kWatchTimeout{ 5000 };
// Delay between two calls, so that changes close together arrive in one batch.
constexpr Duration kBatchInterval = std::chrono::milliseconds(400);
// After a failed call.
constexpr Duration kRetryInterval = std::chrono::milliseconds(150);
constexpr int kConfirmCheckMs = 300;  // between two checks of the confirmation's age
constexpr int kConfirmJitterMs = 300; // random addition, so that reads spread out
// Shortest time between two log lines about failures, because every retry may fail.
constexpr Duration kFailureLogInterval = std::chrono::seconds(1);

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
  PrefixState state{ replica, std::move(aPrefix) };
  for (;;) {
    Duration delay = kBatchInterval;
    bool isListing = !replica.HasListing() || state.mHistoryCompacted;
    FeedCall call{ isListing, mCore.Now(), replica.AsOf() };
    try {
      std::size_t items = co_await CallFeed(state, call);
      RecordSuccess(state, call, items);
    } catch (const store::HistoryCompacted& error) {
      mCore.SetStoreAvailable(true);
      RecordFailure(state, call, error.what());
      state.mHistoryCompacted = true;
      delay = Duration::zero();
    } catch (const std::exception& error) {
      RecordFailure(state, call, error.what());
      delay = kRetryInterval;
    }
    co_await mCore.Sleep(delay);
  }
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
    mCore.SetStoreAvailable(true);
    changed = replica.ApplyListing(items, aCall.mRequestedAt);
    aState.mHistoryCompacted = false;
  } else {
    items = co_await mFeed.WatchChanges(
      aState.mPrefix, replica.Position().mCompleteRevision, kWatchTimeout);
    mCore.SetStoreAvailable(true);
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
  std::visit([this](const auto& aDecoded) { ApplyDecoded(aDecoded); },
             mDecoder.Decode(aItem));
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
// relay their confirmations, so while the store is available few instances read it.
Awaitable<void> Follower::ConfirmConfigLoop()
{
  for (;;) {
    if (mCore.ConfirmedAge() >= mCore.mMembers.MaxConfirmAge(mCore.Now())) {
      co_await ConfirmConfigOnce();
    }
    int jitterMs = static_cast<int>(mRandom() % kConfirmJitterMs);
    co_await mCore.Sleep(std::chrono::milliseconds(kConfirmCheckMs + jitterMs));
  }
}

// Applies the store's configuration. Returns true if it or a newer one is in force.
// Otherwise the one in force may contain a key that the store's no longer has.
bool Follower::ApplyConfig(const store::Item& aItem)
{
  DecodedItem decoded = mDecoder.Decode(aItem);
  const auto* config = std::get_if<decide::ConfigPtr>(&decoded);
  std::visit([this](const auto& aDecoded) { ApplyDecoded(aDecoded); }, decoded);
  if (!config || !mCore.Config()) {
    return false;
  }
  // A newer revision may have arrived while the store was being read.
  return mCore.Config()->mRevision > (*config)->mRevision ||
         mCore.Config()->mDigest == (*config)->mDigest;
}

// The confirmation counts from the time before the read was sent.
Awaitable<void> Follower::ConfirmConfigOnce()
{
  Instant requestedAt = mCore.Now();
  try {
    store::Value value = co_await mStore.Read(mDecoder.ConfigKey());
    mCore.SetStoreAvailable(true);
    if (value.mVersion == 0) {
      co_return;
    }
    if (ApplyConfig({ mDecoder.ConfigKey(), value.mText, value.mVersion, false })) {
      mCore.ConfirmRevision(mCore.Now() - requestedAt);
    }
  } catch (const store::StoreError& error) {
    spdlog::debug("failed to confirm the configuration: {}", error.what());
    mCore.SetStoreAvailable(false);
  }
}

} // namespace vanillaloft::daemon
