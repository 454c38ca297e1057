#include "daemon/loops.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "store/keys.h"

namespace vanillaloft::daemon {

namespace asio = boost::asio;
using base::Event;
using base::Log;

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kWatchWait{ 2000 };
constexpr Duration kStorePause = std::chrono::milliseconds(500); // after a failed call
constexpr Duration kNotWatching = std::chrono::milliseconds(300);
constexpr Duration kMemberRead =
  std::chrono::seconds(15); // of shares held by another instance
constexpr Duration kConflictPause = std::chrono::milliseconds(50);
constexpr Duration kInstancesInterval = std::chrono::seconds(10);
constexpr Duration kAnnounceInterval = store::kAnnouncementTtl / 3;
constexpr int kGiveBackTries = 5;

} // namespace

void Loops::Start(Source aSource)
{
  asio::co_spawn(mCore.mContext, Tick(), asio::detached);
  asio::co_spawn(mCore.mContext, Beats(), asio::detached);
  asio::co_spawn(mCore.mContext, Probes(), asio::detached);
  asio::co_spawn(mCore.mContext, Announce(), asio::detached);
  if (aSource == Source::OwnStore) {
    asio::co_spawn(mCore.mContext, WatchConfig(), asio::detached);
  }
  asio::co_spawn(mCore.mContext, RenewShares(), asio::detached);
  asio::co_spawn(mCore.mContext, ReadInstances(), asio::detached);
}

// Logs peers that stopped answering since the last tick.
void Loops::NotePeers()
{
  std::set<std::string> alive;
  for (const decide::Member* member : mCore.mMembers.Living(mCore.Now())) {
    alive.insert(member->mStatus.mSelf.mAddress);
  }
  for (const std::string& address : mAlivePeers) {
    if (!alive.contains(address)) {
      Log(spdlog::level::warn, Event::PeerLost, "peer={}", address);
    }
  }
  mAlivePeers = std::move(alive);
}

Awaitable<void> Loops::Tick()
{
  bool wasReady = false;
  for (;;) {
    if (mCore.Config()) {
      mCore.mSteer.Beat(mCore.mMembers, mCore.mLeaving, mCore.Now());
      mLookUps.Rebuild();
      mAdmission.ServeWaiters();
    }
    if (mCore.IsReady() && !wasReady) {
      Log(
        spdlog::level::info, Event::Ready, "data_centre={}", mCore.mSettings.mDataCentre);
    }
    wasReady = mCore.IsReady();
    NotePeers();
    co_await mCore.Sleep(kTick);
  }
}

void Loops::BeatAll()
{
  for (const std::string& address : mCore.mMembers.Neighbours()) {
    if (mBeating.insert(address).second) {
      asio::co_spawn(mCore.mContext, BeatOne(address), asio::detached);
    }
  }
}

Awaitable<void> Loops::BeatOne(std::string aAddress)
{
  co_await mRelay.Beat(aAddress);
  mBeating.erase(aAddress);
}

Awaitable<void> Loops::Beats()
{
  for (;;) {
    BeatAll();
    co_await mCore.Sleep(mCore.HeartbeatInterval());
  }
}

Awaitable<void> Loops::ProbeOne(std::string aServer, base::HostPort aAddress)
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

Awaitable<void> Loops::Probes()
{
  for (;;) {
    for (std::size_t i = 0; mCore.Config() && i < mCore.mSteer.Views().size(); ++i) {
      if (mCore.mSteer.Views()[i]->mOwned) {
        const decide::BackendServer& server = mCore.Config()->mBackendServers[i];
        base::HostPort address{ server.mHost, server.mPort };
        asio::co_spawn(mCore.mContext, ProbeOne(server.mName, address), asio::detached);
      }
    }
    co_await mCore.Sleep(kProbeInterval);
  }
}

// A store that came back with an older revision is repaired: the revision in force is
// written back, so that the next change starts from it.
Awaitable<void> Loops::TakeConfig(store::Value aValue)
{
  if (aValue.mVersion == 0 && !mCore.Config()) {
    co_return;
  }
  decide::Offer offer = decide::Offer::Older;
  try {
    if (aValue.mVersion != 0) {
      offer = mCore.AcceptConfig(mCore.mSettings.mParseConfig(aValue.mText));
    }
  } catch (const decide::ConfigError& error) {
    Log(spdlog::level::err,
        Event::ConfigurationRefused,
        "from=store cause={}",
        error.what());
    co_return;
  }
  bool current = offer == decide::Offer::Accepted || offer == decide::Offer::Known;
  if (current) {
    mCore.ConfirmRevision(Duration::zero());
    co_return;
  }
  Log(spdlog::level::warn,
      Event::ConfigurationOlderIgnored,
      "from=store in_force={}",
      mCore.Config()->mRevision);
  if (offer == decide::Offer::Older) {
    co_await mStore.CompareAndSwap(
      store::kConfigKey, aValue.mVersion, mCore.Config()->mText);
  }
}

// One instance of each data centre watches the store; the others get changes from it.
Awaitable<void> Loops::WatchConfig()
{
  for (;;) {
    bool watches = !mCore.Config() || mCore.mMembers.IsFirstInDataCentre(mCore.Now());
    if (!watches) {
      co_await mCore.Sleep(kNotWatching);
      continue;
    }
    bool failed = false;
    try {
      store::Value value =
        co_await mStore.Watch(store::kConfigKey, mConfigVersion, kWatchWait);
      mCore.SetStoreAvailable(true);
      mConfigVersion = value.mVersion;
      co_await TakeConfig(std::move(value));
    } catch (const store::StoreError&) {
      failed = true;
    }
    if (failed) {
      mCore.SetStoreAvailable(false);
      co_await mCore.Sleep(kStorePause);
    } else if (mConfigVersion == 0) {
      co_await mCore.Sleep(kStorePause); // nothing to wait for behind an absent key
    }
  }
}

Awaitable<bool> Loops::RenewOnce()
{
  decide::ShareHolder& shares = mCore.mShares;
  std::string key(decide::ShareDocument::kKey);
  store::Value value = co_await mStore.Read(key);
  decide::ShareDocument document;
  if (value.mVersion != 0) {
    document = decide::ShareDocument::Parse(value.mText);
  }
  shares.Observe(document, mCore.Now());
  std::uint64_t reclaimed = shares.Reclaimed();
  auto planned = shares.Plan(mCore.Now());
  if (!planned) {
    co_return true;
  }
  bool held = shares.IsHolder();
  std::optional<bool> swapped;
  try {
    swapped = co_await mStore.CompareAndSwap(key, value.mVersion, planned->Text());
  } catch (const store::StoreError&) {
    shares.Unknown();
    throw;
  }
  if (*swapped) {
    shares.Committed(mCore.Now());
    if (shares.Reclaimed() != reclaimed) {
      Log(spdlog::level::warn,
          Event::ShareReclaimed,
          "data_centre={}",
          mCore.mSettings.mDataCentre);
    }
  } else {
    shares.Conflicted();
  }
  if (!held && shares.IsHolder()) {
    Log(spdlog::level::info,
        Event::ShareHeld,
        "data_centre={}",
        mCore.mSettings.mDataCentre);
  }
  co_return *swapped;
}

Awaitable<void> Loops::RenewShares()
{
  bool hadPool = false;
  while (!mCore.mStopped) {
    Duration pause = kConflictPause;
    if (mCore.Config()) {
      try {
        bool done = co_await RenewOnce();
        bool member =
          mCore.mShares.OtherHolderAlive(mCore.Now()) && !mCore.mShares.IsHolder();
        Duration regular = member ? kMemberRead : mCore.mSettings.mRenewInterval;
        pause = done ? regular : kConflictPause;
      } catch (const std::exception& error) {
        spdlog::debug("shares not renewed: {}", error.what());
        pause = kStorePause;
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
    co_await mCore.Sleep(pause);
  }
}

Awaitable<void> Loops::GiveSharesBack()
{
  std::string key(decide::ShareDocument::kKey);
  for (int i = 0; i < kGiveBackTries; ++i) {
    try {
      store::Value value = co_await mStore.Read(key);
      if (value.mVersion == 0) {
        co_return;
      }
      mCore.mShares.Observe(decide::ShareDocument::Parse(value.mText), mCore.Now());
      auto without = mCore.mShares.Leave(mCore.Now());
      if (!without ||
          co_await mStore.CompareAndSwap(key, value.mVersion, without->Text())) {
        Log(spdlog::level::info, Event::ShareReleased, "");
        co_return;
      }
    } catch (const std::exception& error) {
      spdlog::debug("shares not given back: {}", error.what());
    }
  }
}

Awaitable<void> Loops::ReadInstances()
{
  for (;;) {
    if (mCore.mMembers.IsFirstInDataCentre(mCore.Now())) {
      try {
        for (const store::ListedInstance& listed : co_await mStore.Instances()) {
          mCore.mMembers.AddAddress(listed.mAddress, listed.mDataCentre);
        }
      } catch (const store::StoreError&) {
        // Peers and seeds remain; the list only adds addresses.
      }
    }
    co_await mCore.Sleep(kInstancesInterval);
  }
}

Awaitable<void> Loops::Announce()
{
  store::ListedInstance self{ mCore.Self().mAddress, mCore.mSettings.mDataCentre, false };
  for (;;) {
    try {
      co_await mStore.Announce(self);
    } catch (const store::StoreError& error) {
      spdlog::debug("not announced: {}", error.what());
    }
    co_await mCore.Sleep(kAnnounceInterval);
  }
}

Duration Loops::LongestLookUpLife() const
{
  Duration longest{};
  for (std::size_t i = 0; mCore.Config() && i < mCore.Config()->mProfiles.size(); ++i) {
    longest = std::max(longest, mCore.Config()->mProfiles[i].mLookUpTtl);
  }
  return longest;
}

// Until then callers with cached answers still come. Peers answer look-ups with this
// instance until they hear from it that it leaves.
Instant Loops::LastNewRequest() const
{
  Duration serves = mCore.mSettings.mStopAcceptPeriod;
  if (serves == Duration::zero()) {
    serves = LongestLookUpLife() + mCore.mSettings.mMemberTimeout;
  }
  return mCore.Now() + std::min(serves, mCore.mSettings.mStopTimeout);
}

Awaitable<void> Loops::Stop()
{
  Log(spdlog::level::info, Event::Stopping, "");
  mCore.mLeaving = true;
  mLookUps.Rebuild();
  BeatAll();
  Instant latest = mCore.Now() + mCore.mSettings.mStopTimeout;
  Instant lastNew = LastNewRequest();
  while (mCore.Now() < lastNew ||
         (mCore.mLedger.HasUnexpired(mCore.Now()) && mCore.Now() < latest)) {
    co_await mCore.Sleep(kTick);
  }
  mCore.mStopped = true;
  asio::co_spawn(mCore.mContext, GiveSharesBack(), asio::detached);
  mBeating.clear();
  BeatAll();
  while (mCore.mRequestsInFlight > 0 && mCore.Now() < latest) {
    co_await mCore.Sleep(kTick);
  }
  co_await mCore.Sleep(kTick);
  Log(spdlog::level::info, Event::Stopped, "");
}

} // namespace vanillaloft::daemon
