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
  for (const std::string& prefix : { mReader.OperatorPrefix(), mReader.ServerPrefix() }) {
    asio::co_spawn(mCore.mContext, Follow(prefix), asio::detached);
  }
  asio::co_spawn(mCore.mContext, ConfirmConfig(), asio::detached);
}

Awaitable<void> Follower::Follow(std::string aPrefix)
{
  Position position;
  position.mPrefix = std::move(aPrefix);
  for (;;) {
    Duration pause = kGather;
    FeedCall call{ position.mListed ? "changes" : "list", mCore.Now() };
    try {
      std::size_t items = co_await Step(position);
      mCore.NoteStore(true);
      NoteRead(position, call, items);
    } catch (const store::HistoryGone& error) {
      NoteFailure(position, call, error.what());
      position.mListed = false;
      pause = Duration::zero();
    } catch (const store::StoreError& error) {
      NoteFailure(position, call, error.what());
      pause = kRetry;
    }
    co_await mCore.Sleep(pause);
  }
}

// What was read is as old as the question: how long the answer was under way is not
// known.
void Follower::NoteRead(Position& aPosition, const FeedCall& aCall, std::size_t aItems)
{
  bool listed = std::string_view(aCall.mName) == "list";
  if (listed || aPosition.mFailures > 0) {
    Log(spdlog::level::info,
        Event::FeedRead,
        "prefix={} call={} took_ms={} items={} revision={} failures={} age_ms={}",
        aPosition.mPrefix,
        aCall.mName,
        Milliseconds(mCore.Now() - aCall.mAsked),
        aItems,
        aPosition.mRevision,
        aPosition.mFailures,
        AgeMilliseconds(aPosition));
  }
  aPosition.mFailures = 0;
  aPosition.mSaidAt = {};
  aPosition.mAsOf = aCall.mAsked;
  if (aPosition.mPrefix == mReader.ServerPrefix()) {
    mCore.mServersAsOf = aCall.mAsked;
  }
}

// -1 if nothing was read yet.
long long Follower::AgeMilliseconds(const Position& aPosition) const
{
  return aPosition.mAsOf ? Milliseconds(mCore.Now() - *aPosition.mAsOf) : -1;
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
      "prefix={} call={} took_ms={} revision={} failures={} age_ms={} cause={}",
      aPosition.mPrefix,
      aCall.mName,
      Milliseconds(mCore.Now() - aCall.mAsked),
      aPosition.mRevision,
      aPosition.mFailures,
      AgeMilliseconds(aPosition),
      aCause);
}

Awaitable<std::size_t> Follower::Step(Position& aPosition)
{
  store::Items items;
  if (aPosition.mListed) {
    items = co_await mFeed.Changes(aPosition.mPrefix, aPosition.mRevision, kWait);
  } else {
    items = co_await mFeed.List(aPosition.mPrefix);
    DropMissing(aPosition, items);
  }
  for (const store::Item& item : items.mItems) {
    Apply(item);
  }
  aPosition.mRevision = items.mRevision;
  aPosition.mListed = true;
  co_return items.mItems.size();
}

void Follower::Apply(const store::Item& aItem)
{
  std::visit([this](const auto& aBelief) { Take(aBelief); }, mReader.Read(aItem));
}

// What a listing lacks was deleted while nobody watched.
void Follower::DropMissing(const Position& aPosition, const store::Items& aListed)
{
  if (aPosition.mPrefix == mReader.OperatorPrefix()) {
    mCore.mFleet.ClearEvacuations();
    return;
  }
  std::set<std::string> listed;
  for (const store::Item& item : aListed.mItems) {
    listed.insert(item.mKey.substr(aPosition.mPrefix.size()));
  }
  std::vector<std::string> missing;
  for (const auto& [id, server] : mCore.mFleet.Servers()) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Take(ServerLeft{ id });
  }
}

void Follower::Take(const decide::ConfigPtr& aConfig)
{
  decide::Offer offer = mCore.Accept(aConfig);
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
                 !known->second->mRegistration.IsSameStart(aRegistration) ||
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
  Duration kept = decide::KeepLapsed(mCore.OutageEnd(), mCore.Now());
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
    mCore.NoteStore(true);
    if (value.mVersion == 0) {
      co_return;
    }
    Apply({ mReader.ConfigKey(), std::move(value.mText), value.mVersion, false });
    mCore.Confirm(mCore.Now() - asked);
  } catch (const store::StoreError& error) {
    spdlog::debug("configuration not confirmed: {}", error.what());
    mCore.NoteStore(false);
  }
}

} // namespace vanillaloft::daemon
