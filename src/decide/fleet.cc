#include "decide/fleet.h"

#include <algorithm>
#include <cmath>

#include "decide/hash.h"

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

// Half-lives of load reports, in units of the server's response time, since the requests
// of other instances end and are replaced about as often as this instance's. The first is
// that of the last report's difference from the mean, the second that of the mean while
// no reports arrive.
constexpr double kReportHalfLives = 1;
constexpr double kMeanHalfLives = 8;
constexpr Seconds kMinResponseTime{ 0.1 };
constexpr Seconds kDefaultResponseTime{ 0.25 };
// Weight of the newest response in a server's mean response time.
constexpr double kResponseTimeSmoothing = 0.1;
// Limit of a reported load, in requests per slot. A server queues only a few, and an
// absurd report must not keep it without requests for long.
constexpr double kMaxLoadPerSlot = 4;
// Weight of the newest report in the mean load.
constexpr double kReportSmoothing = 0.2;
// A server responds fast about an object for at least this long after a request for it.
constexpr Duration kAffinityTime = std::chrono::seconds(5);
// Number of objects recorded for each server from which expired ones are removed.
constexpr std::size_t kMaxAffinityEntries = 256;
// Weight of the newest request in the fault rate.
constexpr double kFaultSmoothing = 0.2;
// A server above this fault rate is used only if no other server has room, for
// kSuspectTime after the last fault. Then it gets its objects back, and one more fault
// moves them away again.
constexpr double kSuspectFaultRate = 0.25;
constexpr Duration kSuspectTime = std::chrono::seconds(3);
// First pause of an unreachable server, doubled for each consecutive fault.
constexpr Duration kFirstPause = std::chrono::milliseconds(250);
constexpr unsigned kMaxPauseDoublings = 4;
// Pause of a full server, about the time of a few responses. A server that rejects a
// request despite free slots is not paused, since it may accept the next one.
constexpr Duration kFullPause = std::chrono::milliseconds(60);
// Fraction of a cold server's accepted request rate that its owner uses. Two instances
// may briefly both assume ownership; together they stay within the rate's tolerance.
constexpr double kWarmUpRateFraction = 0.7;
constexpr double kWarmUpBurst = 2;
// Times after the end of a store outage: how long a missing registration counts as
// expired by the outage, and how long its server is still used. Both are short because
// the end of an outage is detected slightly late.
constexpr Duration kLapseDetectionTime = std::chrono::seconds(1);
constexpr Duration kRenewalGrace = std::chrono::milliseconds(1700);
// Number of kept rankings above which all are dropped.
constexpr std::size_t kMaxRankings = 4096;
// Tolerance in slots, since the load of other instances is an estimate.
constexpr double kSlotTolerance = 0.2;

bool Contains(const std::vector<RegionId>& aRegions, RegionId aRegion)
{
  return aRegions.empty() || std::ranges::find(aRegions, aRegion) != aRegions.end();
}

// Ranks a server after all others until the end of a pause that is longer than
// kMaxSpillPause. Returns true if the server's rank changes.
bool SuspectForLongPause(Server& aServer, Instant aNow)
{
  Instant until = aServer.mNotice.mPausedUntil;
  if (until - aNow <= kMaxSpillPause || until <= aServer.mSuspectUntil) {
    return false;
  }
  aServer.mSuspectUntil = until;
  return true;
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
  ForgetRankings();
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
  ForgetRankings();
  ServerPtr& server = mServers[aRegistration.mId];
  bool sameIncarnation = server && server->mRegistration.IsSameIncarnation(aRegistration);
  if (!sameIncarnation) {
    if (server) {
      server->mGone = true;
    }
    server = std::make_shared<Server>();
    server->mKey = HashOf(aRegistration.mId);
    server->mNotice = mNotices.Of(aRegistration.Boot());
    SuspectForLongPause(*server, aNow);
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
    ForgetRankings();
  }
}

void Fleet::SetEvacuated(const std::string& aDataCentre, bool aEvacuated)
{
  ForgetRankings();
  if (aEvacuated) {
    mEvacuated.insert(aDataCentre);
  } else {
    mEvacuated.erase(aDataCentre);
  }
}

bool Fleet::IsLeaving(const Server& aServer) const
{
  return aServer.mGone || aServer.mNotice.mLeaving || aServer.mRegistration.mDraining ||
         IsEvacuated(aServer.mRegistration.mDataCentre);
}

bool Fleet::MayServe(const Server& aServer, const PlacementQuery& aQuery) const
{
  if (IsLeaving(aServer) || aServer.mService != aQuery.mService ||
      aServer.mDataCentre.IsNone()) {
    return false;
  }
  RegionId region = mConfig->mDataCentres[aServer.mDataCentre.Value()].mRegion;
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
    !mOwn.IsNone() && mConfig->mDataCentres[aServer.mDataCentre.Value()].mRegion ==
                        mConfig->mDataCentres[mOwn.Value()].mRegion;
  return sameRegion ? Locality::OwnRegion : Locality::OtherRegion;
}

Fleet::Ranking Fleet::RankServers(const PlacementQuery& aQuery, Instant aNow) const
{
  std::vector<ServerPtr> servers;
  std::vector<EligibleServer> eligible;
  for (const auto& [id, server] : mServers) {
    if (MayServe(*server, aQuery)) {
      RegionId region = mConfig->mDataCentres[server->mDataCentre.Value()].mRegion;
      eligible.push_back({ servers.size(),
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
  RegionCapacity capacity(eligible, unbound ? mBoundDemand : BoundDemand());
  Ranking ranking;
  ranking.mObject = HashOf(aQuery.mObject);
  ranking.mUsualRemoteFraction = 1 - capacity.HomeFraction();
  for (const EligibleServer& candidate :
       RankCandidates(ranking.mObject, eligible, capacity)) {
    ranking.mCandidates.push_back({ candidate.mLocality, servers[candidate.mIndex] });
  }
  return ranking;
}

void Fleet::ForgetRankings()
{
  mRankings.clear();
  mRankingsUntil = Instant::max();
}

const Fleet::Ranking& Fleet::RankingOf(const PlacementQuery& aQuery, Instant aNow)
{
  if (!aQuery.mTried.empty()) {
    mUnkeptRanking = RankServers(aQuery, aNow);
    return mUnkeptRanking;
  }
  if (aNow >= mRankingsUntil || mRankings.size() >= kMaxRankings) {
    ForgetRankings();
  }
  RankingKey key{
    aQuery.mService, aQuery.mObject, aQuery.mRouteHomes, aQuery.mOrganisationHomes
  };
  auto [kept, added] = mRankings.try_emplace(std::move(key));
  if (added) {
    kept->second = RankServers(aQuery, aNow);
    for (const auto& [id, server] : mServers) {
      if (aNow < server->mSuspectUntil) {
        mRankingsUntil = std::min(mRankingsUntil, server->mSuspectUntil);
      }
    }
  }
  return kept->second;
}

// While a server warms up, only one instance sends to it, at a limited rate.
bool Fleet::IsWarmingUp(const Server& aServer, Instant aNow) const
{
  double rate = mConfig->mServices[aServer.mService.Value()].mColdPerSecond;
  return aNow < aServer.mColdUntil && rate > 0;
}

bool Fleet::HasFreeSlot(const Server& aServer, Instant aNow)
{
  double load = aServer.mInFlight + OtherInstancesLoad(aServer, aNow);
  return load + 1 <= double(aServer.mRegistration.mSlots) + kSlotTolerance;
}

bool Fleet::HasRoom(Server& aServer, Instant aNow) const
{
  if (aNow < aServer.mPausedUntil || IsPaused(aServer, aNow)) {
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
    WarmUpRate(mConfig->mServices[aServer.mService.Value()].mColdPerSecond), aNow);
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

// Selects the best candidate that has room. Only the first candidate that is not paused
// and those with affinity for the object are used at once. The others respond slowly at
// first, so they are used only after a wait (mMaySpill). Candidates in other regions are
// skipped if traffic would move there too fast, and preferred if it would move back too
// fast.
const Fleet::Candidate* Fleet::SelectCandidate(const Ranking& aRanking,
                                               const PlacementQuery& aQuery,
                                               Instant aNow)
{
  const Candidate* nearest = nullptr; // best in the region
  const Candidate* remote = nullptr;  // best in other regions
  const Candidate* first = nullptr;   // that is not paused
  bool inRegion = false;
  for (const Candidate& candidate : aRanking.mCandidates) {
    bool leaves = candidate.mLocality == Locality::OtherRegion;
    inRegion = inRegion || !leaves;
    const Candidate*& best = leaves ? remote : nearest;
    Server& server = *candidate.mServer;
    if (!first && !IsPaused(server, aNow)) {
      first = &candidate;
    }
    bool usable = &candidate == first || aQuery.mMaySpill ||
                  HasAffinity(server, aRanking.mObject, aNow);
    if (!best && usable && HasRoom(server, aNow)) {
      best = &candidate;
    }
  }
  if (!inRegion || !remote) {
    return nearest ? nearest : remote;
  }
  if (nearest && nearest < remote) {
    return mShiftLimiter.MustLeave(aRanking.mUsualRemoteFraction, aNow) ? remote
                                                                        : nearest;
  }
  return mShiftLimiter.MayLeave(aRanking.mUsualRemoteFraction, aNow) ? remote : nearest;
}

bool Fleet::ForecastsWork(ServiceId aService) const
{
  return mConfig && !aService.IsNone() &&
         mReportingServices.contains(mConfig->mServices[aService.Value()].mName);
}

Familiarity Fleet::FamiliarityOf(const Candidate& aCandidate,
                                 const Ranking& aRanking,
                                 const PlacementQuery& aQuery,
                                 Instant aNow)
{
  if (HasAffinity(*aCandidate.mServer, aRanking.mObject, aNow)) {
    return Familiarity::Recent;
  }
  if (aQuery.mTried.empty() && &aCandidate == &aRanking.mCandidates.front()) {
    return Familiarity::Home;
  }
  return aCandidate.mLocality == Locality::OtherRegion ? Familiarity::Foreign
                                                       : Familiarity::Copy;
}

// Returns the flight of a request that is sent now. Its wait and work are zero if the
// service's servers do not report their load or the route is unknown.
Flight Fleet::ForecastAt(const Candidate& aCandidate,
                         const Ranking& aRanking,
                         const PlacementQuery& aQuery,
                         Instant aNow) const
{
  const Server& server = *aCandidate.mServer;
  Flight flight;
  flight.mClass = { aQuery.mRoute,
                    FamiliarityOf(aCandidate, aRanking, aQuery, aNow),
                    aQuery.mBodyBytes };
  flight.mSentAt = aNow;
  if (!ForecastsWork(aQuery.mService)) {
    return flight;
  }
  std::optional<Duration> usual = mWorkForecast.Expect(flight.mClass);
  if (!usual) {
    return flight;
  }
  double pace = std::max(server.mPace.At(aNow),
                         server.mPace.Usual(aNow) * server.mBacklog.OverdueRatio(aNow));
  flight.mWork = std::chrono::duration_cast<Duration>(Seconds(*usual) * pace);
  // Most requests at a server are for objects that have their home there.
  WorkClass other = flight.mClass;
  other.mFamiliarity = Familiarity::Home;
  Seconds usualOther = mWorkForecast.Expect(other).value_or(*usual);
  Duration otherWork = std::chrono::duration_cast<Duration>(usualOther * pace);
  unsigned slots = server.mRegistration.mSlots;
  double others = OtherInstancesLoad(server, aNow);
  if (!HasFreeSlot(server, aNow)) {
    others = std::max(others, double(slots) - server.mInFlight);
  }
  flight.mWait = server.mBacklog.WaitForSlot(slots, others, otherWork, aNow);
  return flight;
}

ServerChoice Fleet::Choose(const PlacementQuery& aQuery, Instant aNow)
{
  if (!mConfig || aQuery.mConfig != mConfig) {
    return {};
  }
  const Ranking& ranking = RankingOf(aQuery, aNow);
  return AllPaused(ranking, aNow) ? ChooseUnpaused(aQuery, aNow)
                                  : ChooseFrom(ranking, aQuery, aNow);
}

bool Fleet::AllPaused(const Ranking& aRanking, Instant aNow)
{
  return !aRanking.mCandidates.empty() &&
         std::ranges::all_of(aRanking.mCandidates, [&](const Candidate& aCandidate) {
           return IsPaused(*aCandidate.mServer, aNow);
         });
}

// Chooses among the servers that are not paused, also those that are no candidates for
// the object otherwise.
ServerChoice Fleet::ChooseUnpaused(const PlacementQuery& aQuery, Instant aNow)
{
  PlacementQuery unpaused = aQuery;
  Instant firstEnd = Instant::max();
  for (const auto& [id, server] : mServers) {
    if (IsPaused(*server, aNow) && MayServe(*server, aQuery)) {
      unpaused.mTried.push_back(server.get());
      firstEnd = std::min(firstEnd, server->mNotice.mPausedUntil);
    }
  }
  const Ranking& ranking = RankingOf(unpaused, aNow);
  if (ranking.mCandidates.empty()) {
    return { nullptr, NoServerReason::AllPaused, firstEnd };
  }
  return ChooseFrom(ranking, unpaused, aNow);
}

Instant Fleet::FirstPauseEnd(const PlacementQuery& aQuery, Instant aNow) const
{
  Instant first = Instant::max();
  for (const auto& [id, server] : mServers) {
    if (MayServe(*server, aQuery)) {
      first = std::min(first, server->mNotice.mPausedUntil);
    }
  }
  bool allPaused = first != Instant::max() && first > aNow;
  return allPaused ? first : Instant();
}

ServerChoice Fleet::ChooseFrom(const Ranking& aRanking,
                               const PlacementQuery& aQuery,
                               Instant aNow)
{
  const Candidate* selected = SelectCandidate(aRanking, aQuery, aNow);
  if (!selected) {
    return { nullptr,
             aRanking.mCandidates.empty() ? NoServerReason::NoCandidate
                                          : NoServerReason::AllFull,
             {} };
  }
  ServerChoice choice{ selected->mServer, NoServerReason::NoCandidate, {} };
  choice.mFlight = ForecastAt(*selected, aRanking, aQuery, aNow);
  Server& server = *selected->mServer;
  if (choice.mFlight.mWork > Duration::zero()) {
    choice.mFlight.mNumber = mNextFlight++;
    server.mBacklog.Add(choice.mFlight);
  }
  ++server.mInFlight;
  TakeWarmUpToken(server, aNow);
  RecordAffinity(server, aRanking.mObject, aNow);
  mShiftLimiter.Count(selected->mLocality == Locality::OtherRegion, aNow);
  return choice;
}

void Fleet::RecordLeaving(const ServerPtr& aServer, Instant aNow)
{
  mNotices.RecordLeaving(aServer->mRegistration.Boot(), aNow);
  aServer->mNotice.mLeaving = true;
  ForgetRankings();
}

void Fleet::RecordLeavingAt(const base::HostPort& aAddress, Instant aNow)
{
  for (const auto& [id, server] : mServers) {
    const base::HostPort& address = server->mRegistration.mAddress;
    if (address.mHost == aAddress.mHost && address.mPort == aAddress.mPort) {
      RecordLeaving(server, aNow);
    }
  }
}

void Fleet::RecordPause(const ServerPtr& aServer, Duration aPause, Instant aNow)
{
  ServerBoot boot = aServer->mRegistration.Boot();
  mNotices.RecordPause(boot, aPause, aNow);
  aServer->mNotice.mPausedUntil = mNotices.Of(boot).mPausedUntil;
  if (SuspectForLongPause(*aServer, aNow)) {
    ForgetRankings();
  }
}

std::vector<CandidateState> Fleet::DescribeCandidates(const PlacementQuery& aQuery,
                                                      Instant aNow)
{
  std::vector<CandidateState> states;
  const Ranking& ranking = RankingOf(aQuery, aNow);
  for (const Candidate& candidate : ranking.mCandidates) {
    Server& server = *candidate.mServer;
    std::optional<Duration> age;
    if (server.mReportedAt != Instant()) {
      age = aNow - server.mReportedAt;
    }
    states.push_back({ candidate.mServer,
                       server.mInFlight,
                       OtherInstancesLoad(server, aNow),
                       age,
                       HasAffinity(server, ranking.mObject, aNow),
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
  double total = std::min(double(aLoad.mRunning) + aLoad.mWaiting,
                          kMaxLoadPerSlot * aServer->mRegistration.mSlots);
  // The server's count no longer includes the request of this response.
  double own = aServer->mInFlight > 0 ? aServer->mInFlight - 1 : 0;
  aServer->mOtherLoad = std::max(0.0, total - own);
  aServer->mMeanOtherLoad +=
    kReportSmoothing * (aServer->mOtherLoad - aServer->mMeanOtherLoad);
  aServer->mReportedAt = aNow;
  aServer->mWaiting = aLoad.mWaiting;
  if (aLoad.mPace) {
    aServer->mPace.Report(*aLoad.mPace, aNow);
  }
  mReportingServices.insert(aServer->mRegistration.mService);
}

// Compares an answer with its forecast and updates what later forecasts rest on. How long
// a request waited in a server's queue is not known, so the work is learned only where
// nobody waits.
void Fleet::LearnWork(Server& aServer, const Flight& aFlight, Instant aNow)
{
  if (!mReportingServices.contains(aServer.mRegistration.mService)) {
    return;
  }
  Duration took = aNow - aFlight.mSentAt;
  Duration work = std::max(took - aFlight.mWait, took / 2);
  Seconds atUsualPace = Seconds(work) / aServer.mPace.Reported(aNow);
  if (auto expected = mWorkForecast.Expect(aFlight.mClass)) {
    aServer.mPace.Observe(atUsualPace / Seconds(*expected), aNow);
  }
  if (aServer.mWaiting == 0) {
    Seconds usual = atUsualPace / aServer.mPace.Usual(aNow);
    mWorkForecast.Learn(aFlight.mClass, std::chrono::duration_cast<Duration>(usual));
  }
}

void Fleet::RecordResult(const ServerPtr& aServer,
                         SendResult aResult,
                         Instant aNow,
                         const Flight& aFlight)
{
  Server& server = *aServer;
  --server.mInFlight;
  server.mBacklog.Remove(aFlight.mNumber, aResult == SendResult::Answered);
  if (aResult == SendResult::Answered && aFlight.mClass.mRoute != 0) {
    LearnWork(server, aFlight, aNow);
  }
  if (aResult == SendResult::Cancelled || aResult == SendResult::Paused) {
    return;
  }
  bool fault = aResult != SendResult::Answered;
  server.mFaultRate += kFaultSmoothing * ((fault ? 1.0 : 0.0) - server.mFaultRate);
  server.mFaultsInRow = fault ? server.mFaultsInRow + 1 : 0;
  if (fault && server.mFaultRate > kSuspectFaultRate) {
    if (aNow >= server.mSuspectUntil) {
      ForgetRankings();
    }
    server.mSuspectUntil = std::max(server.mSuspectUntil, aNow + kSuspectTime);
  }
  switch (aResult) {
    case SendResult::Gone:
      server.mGone = true;
      ForgetRankings();
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
