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
constexpr Seconds kMinResponseTime{ 0.1 };
constexpr Seconds kDefaultResponseTime{ 0.25 };
// Weight of the newest answer in a server's time of answers.
constexpr double kResponseTimeSmoothing = 0.1;
// Weight of the newest report in the mean.
constexpr double kReportSmoothing = 0.2;
// A server answers fast about an object for at least this long.
constexpr Duration kAffinityTime = std::chrono::seconds(5);
// Objects that are remembered for each server before old ones are dropped.
constexpr std::size_t kMaxAffinityEntries = 256;
// Weight of the newest request in the share of faults.
constexpr double kFaultSmoothing = 0.2;
// A server with a larger share of faults is used only where no other has room, for this
// long after the last fault. Then its objects return, and one more fault sends them away.
constexpr double kSuspectFaultRate = 0.25;
constexpr Duration kSuspectTime = std::chrono::seconds(3);
// First pause of a server that could not be reached, doubled for each further fault.
constexpr Duration kFirstPause = std::chrono::milliseconds(250);
constexpr unsigned kMaxPauseDoublings = 4;
// Pause of a server that is full: a few answers' time. One that rejects requests though
// it has free slots is not paused, since the next one may pass.
constexpr Duration kFullPause = std::chrono::milliseconds(60);
// Part of the accepted pace at which a cold server is filled. Two instances may take
// themselves for its owner for a moment, which together stay under the pace's excess.
constexpr double kWarmUpRateFraction = 0.7;
constexpr double kWarmUpBurst = 2;
// Behind the end of an outage: until when registrations are taken for lapsed, and until
// when their servers are used. The end is noticed a little late, so both are short.
constexpr Duration kLapseDetectionTime = std::chrono::seconds(1);
constexpr Duration kRenewalGrace = std::chrono::milliseconds(1700);
// Room for a part of a request, since the load of other instances is an estimate.
constexpr double kSlotTolerance = 0.2;

std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool Contains(const std::vector<RegionId>& aRegions, RegionId aRegion)
{
  return aRegions.empty() || std::ranges::find(aRegions, aRegion) != aRegions.end();
}

Rate WarmUpRate(double aPerSecond)
{
  return { static_cast<MicroTokens>(aPerSecond * kWarmUpRateFraction * double(kToken)),
           static_cast<MicroTokens>(kWarmUpBurst * double(kToken)) };
}

} // namespace

double OtherInstancesLoad(const Server& aServer, Instant aNow)
{
  Seconds age = aNow - aServer.mReportedAt;
  Seconds responseTime = aServer.mMeanResponseTime > Duration::zero()
                           ? aServer.mMeanResponseTime
                           : kDefaultResponseTime;
  double elapsed = age / std::max(responseTime, kMinResponseTime);
  double mean = aServer.mMeanOtherLoad * std::exp2(-elapsed / kMeanHalfLives);
  double excess = aServer.mOtherLoad - aServer.mMeanOtherLoad;
  return std::max(0.0, mean + excess * std::exp2(-elapsed / kReportHalfLives));
}

Duration LapsedServerGrace(std::optional<Instant> aOutageEnd, Instant aNow)
{
  if (!aOutageEnd || aNow - *aOutageEnd >= kLapseDetectionTime) {
    return Duration::zero();
  }
  return *aOutageEnd + kRenewalGrace - aNow;
}

void Fleet::SetConfig(ConfigPtr aConfig)
{
  mConfig = std::move(aConfig);
  mOwn = mConfig->FindDataCentre(mOwnName);
  mBoundDemand = EstimateBoundDemand(*mConfig);
  for (auto& [id, server] : mServers) {
    ResolveIds(*server);
  }
}

void Fleet::ResolveIds(Server& aServer) const
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
  bool sameIncarnation = server && server->mRegistration.IsSameIncarnation(aRegistration);
  if (!sameIncarnation) {
    if (server) {
      server->mGone = true;
    }
    server = std::make_shared<Server>();
    server->mKey = HashOf(aRegistration.mId);
  }
  server->mRegistration = aRegistration;
  server->mLapsed = false;
  ResolveIds(*server);
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

bool Fleet::MayServe(const Server& aServer, const PlacementQuery& aQuery) const
{
  if (IsLeaving(aServer) || aServer.mService != aQuery.mService ||
      aServer.mDataCentre.IsNone()) {
    return false;
  }
  RegionId region = mConfig->mDataCentres[aServer.mDataCentre.At()].mRegion;
  return Contains(aQuery.mRouteHomes, region) &&
         Contains(aQuery.mOrganisationHomes, region) &&
         std::ranges::find(aQuery.mTried, &aServer) == aQuery.mTried.end();
}

Locality Fleet::LocalityOf(const Server& aServer) const
{
  if (aServer.mDataCentre == mOwn) {
    return Locality::OwnDataCentre;
  }
  bool sameRegion =
    !mOwn.IsNone() && mConfig->mDataCentres[aServer.mDataCentre.At()].mRegion ==
                        mConfig->mDataCentres[mOwn.At()].mRegion;
  return sameRegion ? Locality::OwnRegion : Locality::OtherRegion;
}

Fleet::CandidateSet Fleet::CandidatesFor(const PlacementQuery& aQuery, Instant aNow) const
{
  std::vector<ServerPtr> servers;
  std::vector<EligibleServer> placed;
  for (const auto& [id, server] : mServers) {
    if (MayServe(*server, aQuery)) {
      RegionId region = mConfig->mDataCentres[server->mDataCentre.At()].mRegion;
      placed.push_back({ servers.size(),
                         server->mKey,
                         LocalityOf(*server),
                         server->mDataCentre,
                         region,
                         double(server->mRegistration.mSlots),
                         aNow < server->mSuspectUntil });
      servers.push_back(server);
    }
  }
  bool unbound = aQuery.mRouteHomes.empty() && aQuery.mOrganisationHomes.empty();
  RegionCapacity capacity(placed, unbound ? mBoundDemand : BoundDemand());
  CandidateSet candidates;
  candidates.mObject = HashOf(aQuery.mObject);
  candidates.mUsualRemoteFraction = 1 - capacity.HomeFraction();
  for (const EligibleServer& candidate :
       RankCandidates(candidates.mObject, placed, capacity)) {
    candidates.mCandidates.push_back({ candidate.mLocality, servers[candidate.mIndex] });
  }
  return candidates;
}

// Only one instance sends to a cold server, at the server's pace.
bool Fleet::IsWarmingUp(const Server& aServer, Instant aNow) const
{
  double rate = mConfig->mServices[aServer.mService.At()].mColdPerSecond;
  return aNow < aServer.mColdUntil && rate > 0;
}

bool Fleet::HasFreeSlot(const Server& aServer, Instant aNow)
{
  double load = aServer.mInFlight + OtherInstancesLoad(aServer, aNow);
  return load + 1 <= double(aServer.mRegistration.mSlots) + kSlotTolerance;
}

bool Fleet::HasRoom(Server& aServer, Instant aNow) const
{
  if (aNow < aServer.mPausedUntil) {
    return false;
  }
  if (!HasFreeSlot(aServer, aNow)) {
    return false;
  }
  if (!IsWarmingUp(aServer, aNow)) {
    return true;
  }
  bool owner =
    aServer.mDataCentre == mOwn && mMembers.OwnsBackendServer(aServer.Id(), false, aNow);
  if (!owner) {
    return false;
  }
  aServer.mWarmUpBucket.SetRate(
    WarmUpRate(mConfig->mServices[aServer.mService.At()].mColdPerSecond), aNow);
  return aServer.mWarmUpBucket.Level(aNow) >= kToken;
}

void Fleet::TakeWarmUpToken(Server& aServer, Instant aNow) const
{
  if (IsWarmingUp(aServer, aNow)) {
    aServer.mWarmUpBucket.Take(kToken, aNow);
  }
}

bool Fleet::HasAffinity(const Server& aServer, std::uint64_t aObject, Instant aNow)
{
  auto found = aServer.mLastSentByObject.find(aObject);
  return found != aServer.mLastSentByObject.end() && aNow - found->second < kAffinityTime;
}

void Fleet::RecordAffinity(Server& aServer, std::uint64_t aObject, Instant aNow)
{
  if (aServer.mLastSentByObject.size() >= kMaxAffinityEntries) {
    std::erase_if(aServer.mLastSentByObject, [&](const auto& aEntry) {
      return aNow - aEntry.second >= kAffinityTime;
    });
  }
  aServer.mLastSentByObject[aObject] = aNow;
}

// The first of the object's servers, or one that already knows the object. A further one
// answers slowly at first, so it is taken only after waiting for the others. Servers of
// other regions are left out where traffic would move there too fast, and come first
// where it would move back too fast.
const Fleet::Candidate* Fleet::SelectCandidate(const CandidateSet& aCandidates,
                                               const PlacementQuery& aQuery,
                                               Instant aNow)
{
  const Candidate* nearest = nullptr; // best in the region
  const Candidate* remote = nullptr;  // best in other regions
  bool inRegion = false;
  for (const Candidate& candidate : aCandidates.mCandidates) {
    bool leaves = candidate.mLocality == Locality::OtherRegion;
    inRegion = inRegion || !leaves;
    const Candidate*& best = leaves ? remote : nearest;
    Server& server = *candidate.mServer;
    bool usable = &candidate == &aCandidates.mCandidates.front() || aQuery.mMaySpill ||
                  HasAffinity(server, aCandidates.mObject, aNow);
    if (!best && usable && HasRoom(server, aNow)) {
      best = &candidate;
    }
  }
  if (!inRegion || !remote) {
    return nearest ? nearest : remote;
  }
  if (nearest && nearest < remote) {
    return mShiftLimiter.MustLeave(aCandidates.mUsualRemoteFraction, aNow) ? remote
                                                                           : nearest;
  }
  return mShiftLimiter.MayLeave(aCandidates.mUsualRemoteFraction, aNow) ? remote
                                                                        : nearest;
}

ServerChoice Fleet::Choose(const PlacementQuery& aQuery, Instant aNow)
{
  if (!mConfig) {
    return {};
  }
  CandidateSet candidates = CandidatesFor(aQuery, aNow);
  const Candidate* selected = SelectCandidate(candidates, aQuery, aNow);
  if (!selected) {
    return { nullptr,
             candidates.mCandidates.empty() ? NoServerReason::NoCandidate
                                            : NoServerReason::AllFull };
  }
  Server& server = *selected->mServer;
  ++server.mInFlight;
  TakeWarmUpToken(server, aNow);
  RecordAffinity(server, candidates.mObject, aNow);
  mShiftLimiter.Count(selected->mLocality == Locality::OtherRegion, aNow);
  return { selected->mServer, NoServerReason::NoCandidate };
}

std::vector<CandidateState> Fleet::DescribeCandidates(const PlacementQuery& aQuery,
                                                      Instant aNow)
{
  std::vector<CandidateState> states;
  CandidateSet candidates = CandidatesFor(aQuery, aNow);
  for (const Candidate& candidate : candidates.mCandidates) {
    Server& server = *candidate.mServer;
    std::optional<Duration> age;
    if (server.mReportedAt != Instant()) {
      age = aNow - server.mReportedAt;
    }
    states.push_back({ candidate.mServer,
                       server.mInFlight,
                       OtherInstancesLoad(server, aNow),
                       age,
                       HasAffinity(server, candidates.mObject, aNow),
                       HasRoom(server, aNow) });
  }
  return states;
}

void Fleet::RecordLoad(const ServerPtr& aServer,
                       const LoadReport& aLoad,
                       Duration aResponseTime,
                       Instant aNow)
{
  Duration& responseTime = aServer->mMeanResponseTime;
  Seconds change = kResponseTimeSmoothing * Seconds(aResponseTime - responseTime);
  responseTime = responseTime > Duration::zero()
                   ? responseTime + std::chrono::duration_cast<Duration>(change)
                   : aResponseTime;
  double total = double(aLoad.mRunning) + aLoad.mWaiting;
  // The answered request itself has left the server's count by now.
  double own = aServer->mInFlight > 0 ? aServer->mInFlight - 1 : 0;
  aServer->mOtherLoad = std::max(0.0, total - own);
  aServer->mMeanOtherLoad +=
    kReportSmoothing * (aServer->mOtherLoad - aServer->mMeanOtherLoad);
  aServer->mReportedAt = aNow;
}

void Fleet::RecordResult(const ServerPtr& aServer, SendResult aResult, Instant aNow)
{
  Server& server = *aServer;
  --server.mInFlight;
  if (aResult == SendResult::Cancelled) {
    return;
  }
  bool fault = aResult != SendResult::Answered;
  server.mFaultRate += kFaultSmoothing * ((fault ? 1.0 : 0.0) - server.mFaultRate);
  server.mFaultsInRow = fault ? server.mFaultsInRow + 1 : 0;
  if (fault && server.mFaultRate > kSuspectFaultRate) {
    server.mSuspectUntil = aNow + kSuspectTime;
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
          aNow +
          kFirstPause * (1U << std::min(server.mFaultsInRow - 1, kMaxPauseDoublings));
      }
      break;
    default:
      break;
  }
}

} // namespace vanillaloft::decide
