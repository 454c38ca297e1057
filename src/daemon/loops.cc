#include "daemon/loops.h"

#include <algorithm>

#include "entry/background.h"
#include "store/keys.h"

namespace vanillaloft::daemon {

using base::Event;
using base::Log;
using entry::Spawn;
using entry::SpawnLoop;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kWatchTimeout{ 2000 };
constexpr Duration kStoreRetryInterval =
  std::chrono::milliseconds(500); // after a failed call or an absent key
// Time after which an instance that does not watch checks again whether it should.
constexpr Duration kWatcherCheckInterval = std::chrono::milliseconds(300);
constexpr Duration kClaimRetryInterval =
  std::chrono::seconds(1); // while a former holder's lease runs
// Time after which an instance checks again whether it should read the shares document.
constexpr Duration kClaimCheckInterval = std::chrono::milliseconds(300);
constexpr Duration kConflictRetryInterval = std::chrono::milliseconds(50);
constexpr Duration kInstanceListInterval = std::chrono::seconds(10);
constexpr Duration kAnnounceInterval = store::kAnnouncementTtl / 3;
constexpr Duration kStoreCallsLogInterval = std::chrono::seconds(10);
constexpr int kReleaseAttempts = 5;

} // namespace

const Loops::LoopRow Loops::kLoops[] = {
  { "tick", &Loops::TickLoop, false },
  { "heartbeats", &Loops::HeartbeatLoop, false },
  { "probes", &Loops::ProbeLoop, false },
  { "announcement", &Loops::AnnounceLoop, false },
  { "configuration", &Loops::WatchConfigLoop, true },
  { "shares", &Loops::RenewSharesLoop, false },
  { "instances", &Loops::ReadInstancesLoop, false },
  { "store-calls", &Loops::LogStoreCallsLoop, false },
};

void Loops::Start(ConfigSource aConfigSource)
{
  mCore.mTellPeers = [this] { TellPeers(); };
  for (const LoopRow& row : kLoops) {
    if (!row.mOwnStoreOnly || aConfigSource == ConfigSource::OwnStore) {
      SpawnLoop(mCore.mContext, row.mName, [this, &row] { return (this->*row.mLoop)(); });
    }
  }
}

// Logs the peers that were alive at the last tick and no longer are.
void Loops::LogLostPeers()
{
  std::set<std::string> alive;
  for (const decide::Member* member : mCore.mMembers.AliveMembers(mCore.Now())) {
    alive.insert(member->mStatus.mSelf.mAddress);
  }
  for (const std::string& address : mAlivePeers) {
    if (!alive.contains(address)) {
      Log(spdlog::level::warn, Event::PeerLost, "peer={}", address);
    }
  }
  mAlivePeers = std::move(alive);
}

Awaitable<void> Loops::TickLoop()
{
  bool wasReady = false;
  for (;;) {
    if (mCore.Config()) {
      mCore.mSteer.UpdateOwnership(mCore.mMembers, mCore.mLeaving, mCore.Now());
      mLookUps.Rebuild();
      mAdmission.ServeWaiters();
    }
    if (mCore.IsReady() && !wasReady) {
      Log(
        spdlog::level::info, Event::Ready, "data_centre={}", mCore.mSettings.mDataCentre);
    }
    wasReady = mCore.IsReady();
    LogLostPeers();
    co_await mCore.Sleep(kTickInterval);
  }
}

void Loops::SendHeartbeats()
{
  for (const std::string& address : mCore.mMembers.HeartbeatTargets()) {
    if (mHeartbeatsInFlight.insert(address).second) {
      Spawn(mCore.mContext, "heartbeat", SendHeartbeat(address));
    }
  }
}

// Those in flight carry an older status.
void Loops::TellPeers()
{
  mHeartbeatsInFlight.clear();
  SendHeartbeats();
}

Awaitable<void> Loops::SendHeartbeat(std::string aAddress)
{
  try {
    co_await mRelay.SendHeartbeat(aAddress);
  } catch (const std::exception& error) {
    Log(spdlog::level::err,
        Event::TaskFailed,
        "task=heartbeat peer={} cause={}",
        aAddress,
        base::Printable(error.what()));
  }
  mHeartbeatsInFlight.erase(aAddress);
}

Awaitable<void> Loops::HeartbeatLoop()
{
  for (;;) {
    SendHeartbeats();
    co_await mCore.Sleep(mCore.HeartbeatInterval());
  }
}

Awaitable<void> Loops::ProbeServer(std::string aServer, base::HostPort aAddress)
{
  decide::ServerState state = co_await mBackend.Probe(aAddress);
  const auto& servers = mCore.Config()->mBackendServers;
  auto found = std::ranges::find(servers, aServer, &decide::BackendServer::mName);
  if (found == servers.end()) {
    co_return;
  }
  auto index = static_cast<std::size_t>(found - servers.begin());
  if (mCore.mSteer.Views()[index]->mState != state) {
    Log(spdlog::level::info,
        Event::BackendServerState,
        "server={} state={}",
        aServer,
        decide::Name(state));
  }
  mCore.mSteer.Report(decide::BackendServerId(index), state, mCore.Now());
}

Awaitable<void> Loops::ProbeLoop()
{
  for (;;) {
    for (std::size_t i = 0; mCore.Config() && i < mCore.mSteer.Views().size(); ++i) {
      if (mCore.mSteer.Views()[i]->mOwned) {
        const decide::BackendServer& server = mCore.Config()->mBackendServers[i];
        base::HostPort address{ server.mHost, server.mPort };
        Spawn(mCore.mContext, "probe", ProbeServer(server.mName, address));
      }
    }
    co_await mCore.Sleep(kProbeInterval);
  }
}

// Puts the store's configuration in force if it is newer. If the store was restored with
// an older revision or without the key, writes the revision in force back, so that the
// next change starts from it.
Awaitable<void> Loops::ApplyStoredConfig(store::Value aValue)
{
  if (aValue.mVersion == 0 && !mCore.Config()) {
    co_return;
  }
  decide::RevisionCheck check = decide::RevisionCheck::Older;
  try {
    if (aValue.mVersion != 0) {
      check = mCore.AcceptConfig(mCore.mSettings.mParseConfig(aValue.mText));
    }
  } catch (const decide::ConfigError& error) {
    Log(spdlog::level::err,
        Event::ConfigurationRefused,
        "from=store cause={}",
        base::Printable(error.what()));
    co_return;
  }
  bool isCurrent =
    check == decide::RevisionCheck::Accepted || check == decide::RevisionCheck::Known;
  if (isCurrent) {
    mCore.ConfirmRevision(Duration::zero());
    co_return;
  }
  Log(spdlog::level::warn,
      Event::ConfigurationOlderIgnored,
      "from=store in_force={}",
      mCore.Config()->mRevision);
  if (check == decide::RevisionCheck::Older) {
    co_await mStore.CompareAndSwap(
      store::kConfigKey, aValue.mVersion, mCore.Config()->mText);
  }
}

// One instance of each data centre watches the store; the others fetch changes from it.
Awaitable<void> Loops::WatchConfigLoop()
{
  for (;;) {
    bool isWatcher = !mCore.Config() || mCore.mMembers.IsFirstInDataCentre(mCore.Now());
    if (!isWatcher) {
      co_await mCore.Sleep(kWatcherCheckInterval);
      continue;
    }
    bool failed = false;
    Instant sentAt = mCore.Now();
    try {
      store::Value value =
        co_await mStore.Watch(store::kConfigKey, mConfigVersion, kWatchTimeout);
      mCore.SetStoreAvailable();
      mConfigVersion = value.mVersion;
      co_await ApplyStoredConfig(std::move(value));
    } catch (const store::StoreError&) {
      failed = true;
    }
    if (failed) {
      mCore.SetStoreUnavailable(sentAt);
      co_await mCore.Sleep(kStoreRetryInterval);
    } else if (mConfigVersion == 0) {
      co_await mCore.Sleep(kStoreRetryInterval); // a watch of an absent key does not wait
    }
  }
}

// Reads the share document and writes the planned one, if any. Returns false if the write
// lost a compare-and-swap conflict. Throws StoreError, or std::runtime_error if the
// document cannot be parsed.
Awaitable<bool> Loops::RenewSharesOnce()
{
  decide::ShareHolder& shares = mCore.mShares;
  std::string key(decide::ShareDocument::kKey);
  store::Value value = co_await mStore.Read(key);
  decide::ShareDocument document;
  if (value.mVersion != 0) {
    document = decide::ShareDocument::Parse(value.mText);
  }
  shares.Observe(document, mCore.Now());
  std::uint64_t reclaimedBefore = shares.ReclaimCount();
  auto plannedDocument = shares.PlanWrite(mCore.Now());
  if (!plannedDocument) {
    co_return true;
  }
  bool wasHolder = shares.IsHolder();
  std::optional<bool> written;
  try {
    written =
      co_await mStore.CompareAndSwap(key, value.mVersion, plannedDocument->Text());
  } catch (const store::StoreError&) {
    shares.WriteOutcomeUnknown();
    throw;
  }
  if (*written) {
    shares.WriteCommitted(mCore.Now());
    if (shares.ReclaimCount() != reclaimedBefore) {
      Log(spdlog::level::warn,
          Event::ShareReclaimed,
          "data_centre={}",
          mCore.mSettings.mDataCentre);
    }
  } else {
    shares.WriteConflicted();
  }
  if (!wasHolder && shares.IsHolder()) {
    Log(spdlog::level::info,
        Event::ShareHeld,
        "data_centre={}",
        mCore.mSettings.mDataCentre);
  }
  co_return *written;
}

Awaitable<void> Loops::RenewSharesLoop()
{
  bool hadPool = false;
  while (!mCore.mStopped) {
    Duration delay = kClaimCheckInterval;
    if (mCore.Config() && mClaim.IsDue(mCore.Status(), mCore.mMembers, mCore.Now())) {
      try {
        bool renewed = co_await RenewSharesOnce();
        if (renewed) {
          mClaim.RecordRead(mCore.Now());
        }
        Duration interval =
          mCore.mShares.IsHolder() ? mCore.mSettings.mRenewInterval : kClaimRetryInterval;
        delay = renewed ? interval : kConflictRetryInterval;
      } catch (const std::exception& error) {
        spdlog::debug("failed to renew shares: {}", error.what());
        delay = kStoreRetryInterval;
      }
    }
    bool hasPool = mCore.mShares.HoldsPool(mCore.Now());
    if (hadPool && !hasPool) {
      Log(spdlog::level::warn,
          Event::ShareLapsed,
          "data_centre={}",
          mCore.mSettings.mDataCentre);
    }
    hadPool = hasPool;
    co_await mCore.Sleep(delay);
  }
}

Awaitable<void> Loops::ReleaseShares()
{
  std::string key(decide::ShareDocument::kKey);
  for (int i = 0; i < kReleaseAttempts; ++i) {
    try {
      store::Value value = co_await mStore.Read(key);
      if (value.mVersion == 0) {
        co_return;
      }
      mCore.mShares.Observe(decide::ShareDocument::Parse(value.mText), mCore.Now());
      auto documentWithoutSelf = mCore.mShares.ReleaseShares(mCore.Now());
      bool released = !documentWithoutSelf;
      if (!released) {
        released = co_await mStore.CompareAndSwap(
          key, value.mVersion, documentWithoutSelf->Text());
      }
      if (released) {
        Log(spdlog::level::info, Event::ShareReleased, "");
        co_return;
      }
    } catch (const std::exception& error) {
      spdlog::debug("failed to release shares: {}", error.what());
    }
  }
}

Awaitable<void> Loops::ReadInstancesLoop()
{
  for (;;) {
    if (mCore.mMembers.IsFirstInDataCentre(mCore.Now())) {
      try {
        for (const store::ListedInstance& listed : co_await mStore.Instances()) {
          mCore.mMembers.AddAddress(listed.mAddress, listed.mDataCentre);
        }
      } catch (const store::StoreError&) {
        // The addresses of peers and seeds remain known; the list only adds to them.
      }
    }
    co_await mCore.Sleep(kInstanceListInterval);
  }
}

Awaitable<void> Loops::AnnounceLoop()
{
  store::ListedInstance self{ mCore.Self().mAddress, mCore.mSettings.mDataCentre, false };
  for (;;) {
    Instant sentAt = mCore.Now();
    try {
      co_await mStore.Announce(self);
      mCore.RecordOwnStoreAnswer();
    } catch (const store::StoreError& error) {
      mCore.RecordOwnStoreFailure(sentAt);
      spdlog::debug("failed to announce this instance: {}", error.what());
    }
    co_await mCore.Sleep(kAnnounceInterval);
  }
}

Awaitable<void> Loops::LogStoreCallsLoop()
{
  for (;;) {
    co_await mCore.Sleep(kStoreCallsLogInterval);
    Log(spdlog::level::info, Event::StoreCalls, "{}", mCore.mMetrics.StoreCallsText());
  }
}

} // namespace vanillaloft::daemon
