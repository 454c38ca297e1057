#include "daemon/follow.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace vanillaloft::daemon {

namespace asio = boost::asio;
using base::Event;
using base::Log;

namespace {

// A waiting call may hang unseen, so it is asked anew after this time.
constexpr std::chrono::milliseconds kWait{ 5000 };
// Changes that come close together arrive with one call.
constexpr Duration kGather = std::chrono::milliseconds(400);
constexpr Duration kRetry = std::chrono::milliseconds(150);
constexpr int kConfirmLook = 300;   // milliseconds between two looks
constexpr int kConfirmSpread = 300; // milliseconds by which instances differ
// Between two lines about failures, which may come with each retry.
constexpr Duration kSayEvery = std::chrono::seconds(1);

long long Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

void Follower::Start()
{
  mCore.mOnItemsChanged = [this](const std::vector<store::Item>& aItems) {
    ApplyAll(aItems);
  };
  asio::co_spawn(mCore.mContext,
                 Follow(store::StoreSection::OperatorData, mReader.OperatorPrefix()),
                 asio::detached);
  asio::co_spawn(mCore.mContext,
                 Follow(store::StoreSection::Registrations, mReader.ServerPrefix()),
                 asio::detached);
  asio::co_spawn(mCore.mContext, ConfirmConfig(), asio::detached);
}

Awaitable<void> Follower::Follow(store::StoreSection aPart, std::string aPrefix)
{
  store::Replica& replica = mCore.ReplicaOf(aPart);
  Position position{ replica, std::move(aPrefix) };
  for (;;) {
    Duration pause = kGather;
    bool lists = !replica.HasListing() || position.mHistoryGone;
    FeedCall call{ lists, mCore.Now(), replica.AsOf() };
    try {
      std::size_t items = co_await Step(position, call);
      NoteRead(position, call, items);
    } catch (const store::HistoryCompacted& error) {
      mCore.SetStoreAvailable(true);
      NoteFailure(position, call, error.what());
      position.mHistoryGone = true;
      pause = Duration::zero();
    } catch (const std::exception& error) {
      NoteFailure(position, call, error.what());
      pause = kRetry;
    }
    co_await mCore.Sleep(pause);
  }
}

// Changes are asked for behind what the replica has by then, be it from the store or from
// a peer. What was read is as old as the question: how long the answer was under way is
// not known.
Awaitable<std::size_t> Follower::Step(Position& aPosition, FeedCall aCall)
{
  store::Replica& replica = aPosition.mReplica;
  store::ItemBatch items;
  std::vector<store::Item> news;
  if (aCall.mLists) {
    items = co_await mFeed.List(aPosition.mPrefix);
    mCore.SetStoreAvailable(true);
    news = replica.ApplyListing(items, aCall.mAsked);
    aPosition.mHistoryGone = false;
  } else {
    items = co_await mFeed.WatchChanges(
      aPosition.mPrefix, replica.Position().mCompleteRevision, kWait);
    mCore.SetStoreAvailable(true);
    news = replica.ApplyChanges(items, aCall.mAsked);
  }
  ApplyAll(news);
  co_return items.mItems.size();
}

// The call and the state of following, for the log.
std::string Follower::Describe(const Position& aPosition, const FeedCall& aCall) const
{
  return fmt::format("prefix={} call={} took_ms={} revision={} failures={} age_ms={}",
                     aPosition.mPrefix,
                     aCall.mLists ? "list" : "changes",
                     Milliseconds(mCore.Now() - aCall.mAsked),
                     aPosition.mReplica.Position().mCompleteRevision,
                     aPosition.mFailures,
                     aCall.mAsOf ? Milliseconds(mCore.Now() - *aCall.mAsOf) : -1);
}

void Follower::NoteRead(Position& aPosition, const FeedCall& aCall, std::size_t aItems)
{
  if (aCall.mLists || aPosition.mFailures > 0) {
    Log(spdlog::level::info,
        Event::FeedRead,
        "{} items={}",
        Describe(aPosition, aCall),
        aItems);
  }
  aPosition.mFailures = 0;
  aPosition.mSaidAt = {};
}

void Follower::NoteFailure(Position& aPosition, const FeedCall& aCall, const char* aCause)
{
  ++aPosition.mFailures;
  if (aPosition.mSaidAt != Instant() && mCore.Now() - aPosition.mSaidAt < kSayEvery) {
    return;
  }
  aPosition.mSaidAt = mCore.Now();
  Log(spdlog::level::warn,
      Event::FeedFailed,
      "{} cause={}",
      Describe(aPosition, aCall),
      aCause);
}

void Follower::ApplyAll(const std::vector<store::Item>& aItems)
{
  for (const store::Item& item : aItems) {
    Apply(item);
  }
}

void Follower::Apply(const store::Item& aItem)
{
  std::visit([this](const auto& aBelief) { Take(aBelief); }, mReader.Read(aItem));
}

void Follower::Take(const decide::ConfigPtr& aConfig)
{
  decide::Offer offer = mCore.AcceptConfig(aConfig);
  if (offer == decide::Offer::Older) {
    Log(spdlog::level::warn,
        Event::ConfigurationOlderIgnored,
        "from=store offered={} in_force={}",
        aConfig->mRevision,
        mCore.Config()->mRevision);
  }
}

void Follower::Take(const decide::Registration& aRegistration)
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

void Follower::Take(const ServerLeft& aLeft)
{
  Duration kept = decide::LapsedServerGrace(mCore.LastOutageEnd(), mCore.Now());
  if (kept > Duration::zero() && mCore.mFleet.Servers().contains(aLeft.mId)) {
    Log(spdlog::level::info,
        Event::BackendServerState,
        "server={} state=missing kept_ms={}",
        aLeft.mId,
        Milliseconds(kept));
    asio::co_spawn(mCore.mContext, RemoveLater(aLeft.mId, kept), asio::detached);
    return;
  }
  Log(spdlog::level::info, Event::BackendServerState, "server={} state=gone", aLeft.mId);
  mCore.mFleet.Deregister(aLeft.mId);
}

// The server may only have been unable to renew its registration.
Awaitable<void> Follower::RemoveLater(std::string aId, Duration aKept)
{
  decide::ServerPtr server = mCore.mFleet.Servers().at(aId);
  server->mLapsed = true;
  co_await mCore.Sleep(aKept);
  auto found = mCore.mFleet.Servers().find(aId);
  if (found != mCore.mFleet.Servers().end() && found->second == server &&
      server->mLapsed) {
    Log(spdlog::level::info, Event::BackendServerState, "server={} state=lapsed", aId);
    mCore.mFleet.Deregister(aId);
  }
}

void Follower::Take(const Evacuation& aEvacuation)
{
  Log(spdlog::level::info,
      Event::DataCentreEvacuated,
      "data_centre={} active={}",
      aEvacuation.mDataCentre,
      aEvacuation.mActive);
  mCore.mFleet.SetEvacuated(aEvacuation.mDataCentre, aEvacuation.mActive);
}

void Follower::Take(const Unreadable& aUnreadable)
{
  Log(spdlog::level::warn, Event::ItemUnreadable, "cause={}", aUnreadable.mCause);
}

// Peers relay their confirmations, so in a calm fleet few instances read.
Awaitable<void> Follower::ConfirmConfig()
{
  for (;;) {
    if (mCore.ConfirmedAge() >= mCore.mMembers.ConfirmAfter(mCore.Now())) {
      co_await ConfirmOnce();
    }
    int spread = static_cast<int>(mRandom() % kConfirmSpread);
    co_await mCore.Sleep(std::chrono::milliseconds(kConfirmLook + spread));
  }
}

// The confirmation counts from before the question was asked.
Awaitable<void> Follower::ConfirmOnce()
{
  Instant asked = mCore.Now();
  try {
    store::Value value = co_await mStore.Read(mReader.ConfigKey());
    mCore.SetStoreAvailable(true);
    if (value.mVersion == 0) {
      co_return;
    }
    Apply({ mReader.ConfigKey(), std::move(value.mText), value.mVersion, false });
    mCore.ConfirmRevision(mCore.Now() - asked);
  } catch (const store::StoreError& error) {
    spdlog::debug("configuration not confirmed: {}", error.what());
    mCore.SetStoreAvailable(false);
  }
}

} // namespace vanillaloft::daemon
