#include "decide/fleet.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

// How long a load report counts, in times that the server's answers take: others'
// requests end and begin anew about as often as the own ones. A report differs from the
// mean by half as much after the first time; the mean counts half after the second
// without one.
constexpr double kReportHalfLives = 1;
constexpr double kMeanHalfLives = 8;
constexpr Seconds kShortestTook{ 0.1 };
constexpr Seconds kUnknownTook{ 0.25 };
// Weight of the newest answer in a server's time of answers.
constexpr double kTookSmoothing = 0.1;
// Weight of the newest report in the mean.
constexpr double kReportSmoothing = 0.2;
// A server answers fast about an object for at least this long.
constexpr Duration kKnownFor = std::chrono::seconds(5);
// Objects that are remembered for each server before old ones are dropped.
constexpr std::size_t kMostKnown = 256;
// Weight of the newest request in the share of faults.
constexpr double kFaultSmoothing = 0.2;
// A server with a larger share of faults is used only where no other has room, for this
// long after the last fault. Then its objects return, and one more fault sends them away.
constexpr double kDoubtful = 0.25;
constexpr Duration kDoubtfulFor = std::chrono::seconds(3);
// First pause of a server that could not be reached, doubled for each further fault.
constexpr Duration kFirstPause = std::chrono::milliseconds(250);
constexpr unsigned kMostDoublings = 4;
// Pause of a server that is full: a few answers' time. One that rejects requests though
// it has free slots is not paused, since the next one may pass.
constexpr Duration kFullPause = std::chrono::milliseconds(60);
// Part of the accepted pace at which a cold server is filled. Two instances may take
// themselves for its owner for a moment, which together stay under the pace's excess.
constexpr double kColdPart = 0.7;
constexpr double kColdBurst = 2;
// Behind the end of an outage: until when registrations are taken for lapsed, and until
// when their servers are used. The end is noticed a little late, so both are short.
constexpr Duration kLapsesUntil = std::chrono::seconds(1);
constexpr Duration kReturnTime = std::chrono::milliseconds(1700);
// Room for a part of a request, since the load of other instances is an estimate.
constexpr double kOverfill = 0.2;

std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool Contains(const std::vector<RegionId>& aRegions, RegionId aRegion)
{
  return aRegions.empty() || std::ranges::find(aRegions, aRegion) != aRegions.end();
}

Rate ColdRate(double aPerSecond)
{
  return { static_cast<MicroTokens>(aPerSecond * kColdPart * double(kToken)),
           static_cast<MicroTokens>(kColdBurst * double(kToken)) };
}

} // namespace

double OthersNow(const Server& aServer, Instant aNow)
{
  Seconds age = aNow - aServer.mReportedAt;
  Seconds took = aServer.mTook > Duration::zero() ? aServer.mTook : kUnknownTook;
  double times = age / std::max(took, kShortestTook);
  double mean = aServer.mOthersMean * std::exp2(-times / kMeanHalfLives);
  double excess = aServer.mOthers - aServer.mOthersMean;
  return std::max(0.0, mean + excess * std::exp2(-times / kReportHalfLives));
}

Duration KeepLapsed(std::optional<Instant> aOutageEnd, Instant aNow)
{
  if (!aOutageEnd || aNow - *aOutageEnd >= kLapsesUntil) {
    return Duration::zero();
  }
  return *aOutageEnd + kReturnTime - aNow;
}

void Fleet::SetConfig(ConfigPtr aConfig)
{
  mConfig = std::move(aConfig);
  mOwn = mConfig->FindDataCentre(mOwnName);
  mBound = BoundPartsOf(*mConfig);
  for (auto& [id, server] : mServers) {
    Resolve(*server);
  }
}

void Fleet::Resolve(Server& aServer) const
{
  if (!mConfig) {
    return;
  }
  aServer.mService = mConfig->FindService(aServer.mRegistration.mService);
  aServer.mDataCentre = mConfig->FindDataCentre(aServer.mRegistration.mDataCentre);
}

void Fleet::Register(const Registration& aRegistration, Instant aNow)
{
  ServerPtr& server = mServers[aRegistration.mId];
  bool known = server && server->mRegistration.IsSameStart(aRegistration);
  if (!known) {
    if (server) {
      server->mGone = true;
    }
    server = std::make_shared<Server>();
    server->mKey = HashOf(aRegistration.mId);
  }
  server->mRegistration = aRegistration;
  server->mLapsed = false;
  Resolve(*server);
  server->mColdUntil = aRegistration.mColdLeft > Duration::zero()
                         ? aNow + aRegistration.mColdLeft
                         : std::min(server->mColdUntil, aNow);
}

void Fleet::Deregister(const std::string& aId)
{
  auto found = mServers.find(aId);
  if (found != mServers.end()) {
    found->second->mGone = true;
    mServers.erase(found);
  }
}

void Fleet::SetEvacuated(const std::string& aDataCentre, bool aEvacuated)
{
  if (aEvacuated) {
    mEvacuated.insert(aDataCentre);
  } else {
    mEvacuated.erase(aDataCentre);
  }
}

bool Fleet::IsLeaving(const Server& aServer) const
{
  return aServer.mGone || aServer.mRegistration.mDraining ||
         IsEvacuated(aServer.mRegistration.mDataCentre);
}

bool Fleet::MayServe(const Server& aServer, const Wish& aWish) const
{
  if (IsLeaving(aServer) || aServer.mService != aWish.mService ||
      aServer.mDataCentre.IsNone()) {
    return false;
  }
  RegionId region = mConfig->mDataCentres[aServer.mDataCentre.Value()].mRegion;
  return Contains(aWish.mHomes, region) && Contains(aWish.mMoreHomes, region) &&
         std::ranges::find(aWish.mTried, &aServer) == aWish.mTried.end();
}

Reach Fleet::ReachOf(const Server& aServer) const
{
  if (aServer.mDataCentre == mOwn) {
    return Reach::Own;
  }
  bool sameRegion =
    !mOwn.IsNone() && mConfig->mDataCentres[aServer.mDataCentre.Value()].mRegion ==
                        mConfig->mDataCentres[mOwn.Value()].mRegion;
  return sameRegion ? Reach::OwnRegion : Reach::Elsewhere;
}

Fleet::Holding Fleet::HoldingOf(const Wish& aWish, Instant aNow) const
{
  std::vector<ServerPtr> servers;
  std::vector<PlacedServer> placed;
  for (const auto& [id, server] : mServers) {
    if (MayServe(*server, aWish)) {
      RegionId region = mConfig->mDataCentres[server->mDataCentre.Value()].mRegion;
      placed.push_back({ servers.size(),
                         server->mKey,
                         ReachOf(*server),
                         server->mDataCentre,
                         region,
                         double(server->mRegistration.mSlots),
                         aNow < server->mDoubtfulUntil });
      servers.push_back(server);
    }
  }
  bool anywhere = aWish.mHomes.empty() && aWish.mMoreHomes.empty();
  RegionRoom room(placed, anywhere ? mBound : BoundParts());
  Holding holding;
  holding.mObject = HashOf(aWish.mObject);
  holding.mUsuallyFar = 1 - room.HomePart();
  for (const PlacedServer& holder : HoldersOf(holding.mObject, placed, room)) {
    holding.mHolders.push_back({ holder.mReach, servers[holder.mIndex] });
  }
  return holding;
}

// Only one instance sends to a cold server, at the server's pace.
bool Fleet::Paces(const Server& aServer, Instant aNow) const
{
  double pace = mConfig->mServices[aServer.mService.Value()].mColdPerSecond;
  return aNow < aServer.mColdUntil && pace > 0;
}

bool Fleet::HasFreeSlot(const Server& aServer, Instant aNow)
{
  double load = aServer.mInFlight + OthersNow(aServer, aNow);
  return load + 1 <= double(aServer.mRegistration.mSlots) + kOverfill;
}

bool Fleet::HasRoom(Server& aServer, Instant aNow) const
{
  if (aNow < aServer.mPausedUntil) {
    return false;
  }
  if (!HasFreeSlot(aServer, aNow)) {
    return false;
  }
  if (!Paces(aServer, aNow)) {
    return true;
  }
  bool owner =
    aServer.mDataCentre == mOwn && mMembers.OwnsBackendServer(aServer.Id(), false, aNow);
  if (!owner) {
    return false;
  }
  aServer.mColdPace.SetRate(
    ColdRate(mConfig->mServices[aServer.mService.Value()].mColdPerSecond), aNow);
  return aServer.mColdPace.Level(aNow) >= kToken;
}

void Fleet::TakePace(Server& aServer, Instant aNow) const
{
  if (Paces(aServer, aNow)) {
    aServer.mColdPace.Take(kToken, aNow);
  }
}

bool Fleet::Knows(const Server& aServer, std::uint64_t aObject, Instant aNow)
{
  auto found = aServer.mKnows.find(aObject);
  return found != aServer.mKnows.end() && aNow - found->second < kKnownFor;
}

void Fleet::Learn(Server& aServer, std::uint64_t aObject, Instant aNow)
{
  if (aServer.mKnows.size() >= kMostKnown) {
    std::erase_if(aServer.mKnows,
                  [&](const auto& aEntry) { return aNow - aEntry.second >= kKnownFor; });
  }
  aServer.mKnows[aObject] = aNow;
}

// The first of the object's servers, or one that already knows the object. A further one
// answers slowly at first, so it is taken only after waiting for the others. Servers of
// other regions are left out where traffic would move there too fast, and come first
// where it would move back too fast.
const Fleet::Holder* Fleet::Pick(const Holding& aHolding, const Wish& aWish, Instant aNow)
{
  const Holder* near = nullptr; // best in the region
  const Holder* far = nullptr;  // best in other regions
  bool inRegion = false;
  for (const Holder& holder : aHolding.mHolders) {
    bool leaves = holder.mReach == Reach::Elsewhere;
    inRegion = inRegion || !leaves;
    const Holder*& best = leaves ? far : near;
    Server& server = *holder.mServer;
    bool welcome = &holder == &aHolding.mHolders.front() || aWish.mMaySpill ||
                   Knows(server, aHolding.mObject, aNow);
    if (!best && welcome && HasRoom(server, aNow)) {
      best = &holder;
    }
  }
  if (!inRegion || !far) {
    return near ? near : far;
  }
  if (near && near < far) {
    return mRamp.MustLeave(aHolding.mUsuallyFar, aNow) ? far : near;
  }
  return mRamp.MayLeave(aHolding.mUsuallyFar, aNow) ? far : near;
}

Choice Fleet::Choose(const Wish& aWish, Instant aNow)
{
  if (!mConfig) {
    return {};
  }
  Holding holding = HoldingOf(aWish, aNow);
  const Holder* picked = Pick(holding, aWish, aNow);
  if (!picked) {
    return { nullptr, holding.mHolders.empty() ? NoChoice::None : NoChoice::Full };
  }
  Server& server = *picked->mServer;
  ++server.mInFlight;
  TakePace(server, aNow);
  Learn(server, holding.mObject, aNow);
  mRamp.Count(picked->mReach == Reach::Elsewhere, aNow);
  return { picked->mServer, NoChoice::None };
}

std::vector<HolderState> Fleet::Explain(const Wish& aWish, Instant aNow)
{
  std::vector<HolderState> states;
  Holding holding = HoldingOf(aWish, aNow);
  for (const Holder& holder : holding.mHolders) {
    Server& server = *holder.mServer;
    std::optional<Duration> age;
    if (server.mReportedAt != Instant()) {
      age = aNow - server.mReportedAt;
    }
    states.push_back({ holder.mServer,
                       server.mInFlight,
                       OthersNow(server, aNow),
                       age,
                       Knows(server, holding.mObject, aNow),
                       HasRoom(server, aNow) });
  }
  return states;
}

void Fleet::Report(const ServerPtr& aServer,
                   const LoadReport& aLoad,
                   Duration aTook,
                   Instant aNow)
{
  Duration& took = aServer->mTook;
  Seconds change = kTookSmoothing * Seconds(aTook - took);
  took =
    took > Duration::zero() ? took + std::chrono::duration_cast<Duration>(change) : aTook;
  double total = double(aLoad.mRunning) + aLoad.mWaiting;
  // The answered request itself has left the server's count by now.
  double own = aServer->mInFlight > 0 ? aServer->mInFlight - 1 : 0;
  aServer->mOthers = std::max(0.0, total - own);
  aServer->mOthersMean += kReportSmoothing * (aServer->mOthers - aServer->mOthersMean);
  aServer->mReportedAt = aNow;
}

void Fleet::Ended(const ServerPtr& aServer, SendResult aResult, Instant aNow)
{
  Server& server = *aServer;
  --server.mInFlight;
  if (aResult == SendResult::Cancelled) {
    return;
  }
  bool fault = aResult != SendResult::Answered;
  server.mFaultShare += kFaultSmoothing * ((fault ? 1.0 : 0.0) - server.mFaultShare);
  server.mFaultsInRow = fault ? server.mFaultsInRow + 1 : 0;
  if (fault && server.mFaultShare > kDoubtful) {
    server.mDoubtfulUntil = aNow + kDoubtfulFor;
  }
  switch (aResult) {
    case SendResult::Gone:
      server.mGone = true;
      break;
    case SendResult::Full:
      if (!HasFreeSlot(server, aNow)) {
        server.mPausedUntil = aNow + kFullPause;
      }
      break;
    case SendResult::Refused:
    case SendResult::Lost:
      if (aResult == SendResult::Refused || server.mFaultsInRow > 1) {
        server.mPausedUntil =
          aNow + kFirstPause * (1U << std::min(server.mFaultsInRow - 1, kMostDoublings));
      }
      break;
    default:
      break;
  }
}

} // namespace vanillaloft::decide
