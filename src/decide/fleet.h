// The registered backend servers, the estimated load and health of each, and the
// placement of requests on them. All instances with the same registrations rank the
// servers of an object identically. So requests for one object go to the same few
// servers, which respond faster about objects that they handled recently.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "decide/config.h"
#include "decide/cost.h"
#include "decide/member.h"
#include "decide/notice.h"
#include "decide/ramp.h"
#include "decide/rank.h"

namespace vanillaloft::decide {

// Content of a backend server's registration.
struct Registration
{
  std::string mId;
  std::uint64_t mIncarnation = 0; // changes with each start of the server
  std::string mService;
  std::string mDataCentre;
  base::HostPort mAddress;
  unsigned mSlots = 0;
  bool mDraining = false;
  Duration mColdLeft{}; // remaining warm-up time on receipt of the registration

  // False if the server was restarted, even under the same name.
  bool IsSameIncarnation(const Registration& aOther) const
  {
    return mId == aOther.mId && mIncarnation == aOther.mIncarnation;
  }
  ServerBoot Boot() const { return { mId, mIncarnation }; }
};

// A backend server's own count of its requests, sent with a response.
struct LoadReport
{
  unsigned mRunning = 0;
  unsigned mWaiting = 0;
  unsigned mSlots = 0;
  // How long work takes on the server's machine at this moment; 1 is as usual.
  std::optional<double> mPace = {};
};

// Outcome of one request to a backend server.
enum class SendResult : std::uint8_t
{
  Answered,
  Failed,    // responded with a failure of its own
  Full,      // rejected the request for lack of capacity
  Gone,      // another server has the address
  Paused,    // rejected the request and asked for a pause
  Refused,   // the connection failed
  Lost,      // no complete response arrived
  Cancelled, // abandoned by this instance, not a fault of the server
};

// State that this instance keeps for one incarnation of a backend server. Requests in
// flight share ownership, so it outlives the registration.
struct Server
{
  Registration mRegistration;
  std::uint64_t mKey = 0; // hash of the server's name
  ServiceId mService;     // none: not in the current configuration
  DataCentreId mDataCentre;
  Instant mColdUntil{};
  Instant mPausedUntil{};
  Instant mReportedAt{};
  unsigned mWaiting = 0;     // requests that waited there at mReportedAt
  double mOtherLoad = 0;     // requests of other instances at mReportedAt
  double mMeanOtherLoad = 0; // moving average over reports
  double mFaultRate = 0;     // moving average of the fraction of failed requests
  unsigned mFaultsInRow = 0;
  Instant mSuspectUntil{};      // until then ranked after other servers
  Duration mMeanResponseTime{}; // moving average; zero: no response yet
  unsigned mInFlight = 0;       // from this instance
  Pace mPace;
  Backlog mBacklog; // of the requests in mInFlight that have a forecast
  Bucket mWarmUpBucket;
  // Time of this instance's last request for an object, by the object's hash.
  std::unordered_map<std::uint64_t, Instant> mLastSentByObject;
  ServerNotices::Notice mNotice; // what the server said of itself
  bool mGone = false;            // deregistered, restarted or no longer at its address
  bool mLapsed = false;          // registration expired during a store outage; may return

  const std::string& Id() const { return mRegistration.mId; }
};

using ServerPtr = std::shared_ptr<Server>;

// Requirements of a request on its backend server.
struct PlacementQuery
{
  ConfigPtr mConfig; // that the indexes below refer to
  ServiceId mService;
  std::string mObject;               // affinity key; empty: no preference
  std::vector<RegionId> mRouteHomes; // both lists apply; an empty list allows all regions
  std::vector<RegionId> mOrganisationHomes;
  std::vector<const Server*> mTried;
  bool mMaySpill = false;     // may use a candidate without affinity for the object
  std::uint64_t mRoute = 0;   // hash of the route, for the forecast of its work
  std::size_t mBodyBytes = 0; // of the request
};

// Reason why no server was chosen.
enum class NoServerReason : std::uint8_t
{
  AllFull,     // there are candidates, but none has room now
  AllPaused,   // all servers that may take the request asked for a pause
  NoCandidate, // no server may take the request
};

struct ServerChoice
{
  ServerPtr mServer; // null: none
  NoServerReason mReason = NoServerReason::NoCandidate;
  Instant mPausedUntil{}; // with AllPaused: when the first pause ends
  Flight mFlight = {};    // forecast of the request at the chosen server
};

// State of one candidate for an object, as a placement uses it.
struct CandidateState
{
  ServerPtr mServer;
  unsigned mInFlight = 0;             // from this instance
  double mOtherLoad = 0;              // estimated requests of other instances
  std::optional<Duration> mReportAge; // since the last load report; empty: none yet
  bool mHasAffinity = false;          // recently got a request for the object
  bool mHasRoom = false;
};

constexpr Duration kShiftWindow = std::chrono::seconds(2);

class Fleet
{
public:
  // aMaxShift limits how much the fraction of requests that leave the region may change
  // within kShiftWindow.
  Fleet(std::string aOwnDataCentre, const Members& aMembers, double aMaxShift)
    : mOwnName(std::move(aOwnDataCentre))
    , mMembers(aMembers)
    , mShiftLimiter(aMaxShift, kShiftWindow)
  {
  }

  // Applies a configuration.
  void SetConfig(ConfigPtr aConfig);

  // Adds or updates a server. A restarted server replaces the one of the same name.
  void Register(const Registration& aRegistration, Instant aNow);
  // Removes a server that left or whose registration expired.
  void Deregister(const std::string& aId);
  // No requests are sent to an evacuated data centre.
  void SetEvacuated(const std::string& aDataCentre, bool aEvacuated);
  bool IsEvacuated(const std::string& aDataCentre) const
  {
    return mEvacuated.contains(aDataCentre);
  }

  // True if no new requests may be sent to the server.
  bool IsLeaving(const Server& aServer) const;

  // Chooses a server and counts the request as in flight there. The caller has to call
  // RecordResult afterwards, with Cancelled if it did not send the request. Chooses none
  // for a query whose indexes refer to another configuration than the fleet's.
  ServerChoice Choose(const PlacementQuery& aQuery, Instant aNow);
  // The state of a query's candidates, best first.
  std::vector<CandidateState> DescribeCandidates(const PlacementQuery& aQuery,
                                                 Instant aNow);
  // aFlight is that of the ServerChoice.
  void RecordResult(const ServerPtr& aServer,
                    SendResult aResult,
                    Instant aNow,
                    const Flight& aFlight = {});
  // Updates the load estimate from a report that came with a response. Has to be called
  // before RecordResult, since it subtracts the request itself from those in flight.
  void RecordLoad(const ServerPtr& aServer,
                  const LoadReport& aLoad,
                  Duration aResponseTime,
                  Instant aNow);

  // Records that a server said that it is leaving. It gets nothing new, whatever later
  // copies of its registration say, until it is started again.
  void RecordLeaving(const ServerPtr& aServer, Instant aNow);
  // The same for all servers registered at an address.
  void RecordLeavingAt(const base::HostPort& aAddress, Instant aNow);
  // Records that a server wants no requests for aPause.
  void RecordPause(const ServerPtr& aServer, Duration aPause, Instant aNow);
  // When the first pause ends if all servers that may take a request are paused;
  // otherwise Instant().
  Instant FirstPauseEnd(const PlacementQuery& aQuery, Instant aNow) const;
  // True while a server wants no requests.
  static bool IsPaused(const Server& aServer, Instant aNow)
  {
    return aNow < aServer.mNotice.mPausedUntil;
  }
  // True if a request may be sent to a server that was chosen for it before.
  bool MaySend(const Server& aServer, Instant aNow) const
  {
    return !IsLeaving(aServer) && !IsPaused(aServer, aNow);
  }
  // True if the service's servers report their load. The time of its requests is then
  // forecast.
  bool ForecastsWork(ServiceId aService) const;

  const std::map<std::string, ServerPtr>& Servers() const { return mServers; }

private:
  // A server that may handle the requests for an object.
  struct Candidate
  {
    Locality mLocality;
    ServerPtr mServer;
  };

  void ResolveIds(Server& aServer) const;
  bool MayServe(const Server& aServer, const PlacementQuery& aQuery) const;
  static bool HasFreeSlot(const Server& aServer, Instant aNow);
  bool HasRoom(Server& aServer, Instant aNow) const;
  void TakeWarmUpToken(Server& aServer, Instant aNow) const;
  static bool HasAffinity(const Server& aServer, std::uint64_t aObject, Instant aNow);
  static void RecordAffinity(Server& aServer, std::uint64_t aObject, Instant aNow);
  bool IsWarmingUp(const Server& aServer, Instant aNow) const;
  // Identifies a ranking. Requests with the same key have the same candidates.
  struct RankingKey
  {
    ServiceId mService;
    std::string mObject;
    std::vector<RegionId> mRouteHomes;
    std::vector<RegionId> mOrganisationHomes;

    auto operator<=>(const RankingKey&) const = default;
  };
  // The candidates of an object, best first, and the fraction of such requests that
  // usually leaves the region.
  struct Ranking
  {
    std::uint64_t mObject = 0; // hash of the object
    std::vector<Candidate> mCandidates;
    double mUsualRemoteFraction = 0;
  };

  static bool AllPaused(const Ranking& aRanking, Instant aNow);
  ServerChoice ChooseUnpaused(const PlacementQuery& aQuery, Instant aNow);
  ServerChoice ChooseFrom(const Ranking& aRanking,
                          const PlacementQuery& aQuery,
                          Instant aNow);
  const Candidate* SelectCandidate(const Ranking& aRanking,
                                   const PlacementQuery& aQuery,
                                   Instant aNow);
  static Familiarity FamiliarityOf(const Candidate& aCandidate,
                                   const Ranking& aRanking,
                                   const PlacementQuery& aQuery,
                                   Instant aNow);
  Flight ForecastAt(const Candidate& aCandidate,
                    const Ranking& aRanking,
                    const PlacementQuery& aQuery,
                    Instant aNow) const;
  void LearnWork(Server& aServer, const Flight& aFlight, Instant aNow);
  Locality LocalityOf(const Server& aServer) const;
  Ranking RankServers(const PlacementQuery& aQuery, Instant aNow) const;
  const Ranking& RankingOf(const PlacementQuery& aQuery, Instant aNow);
  void ForgetRankings();

  std::string mOwnName;
  const Members& mMembers;
  ConfigPtr mConfig;
  BoundDemand mBoundDemand; // derived from mConfig
  DataCentreId mOwn;
  std::map<std::string, ServerPtr> mServers; // by registered name
  std::set<std::string> mEvacuated;          // names of data centres
  ServerNotices mNotices;
  std::set<std::string> mReportingServices; // names of those whose servers report a load
  WorkForecast mWorkForecast;
  std::uint64_t mNextFlight = 1;
  ShiftLimiter mShiftLimiter;
  // Rankings for the current servers. They are kept, because ranking takes time in
  // proportion to the number of servers and a request may ask several times.
  std::map<RankingKey, Ranking> mRankings;
  Instant mRankingsUntil = Instant::max(); // when the first server is no longer suspect
  Ranking mUnkeptRanking;                  // of the last query that excluded servers
};

// Estimates the requests that other instances have in flight at a server. The last
// report decays towards the mean of the reports, and the mean decays towards zero while
// no reports arrive.
double OtherInstancesLoad(const Server& aServer, Instant aNow);

// How long a server is still used after its registration has disappeared. If the
// registration expired during an outage of the store, a live server renews it within two
// seconds of the end of the outage. If it disappears later, the server has left.
Duration LapsedServerGrace(std::optional<Instant> aOutageEnd, Instant aNow);

} // namespace vanillaloft::decide
