// Backend servers that come and go by registration, what is believed about each of them,
// and the choice of the one that gets a request. Every instance chooses alike from the
// same registrations, so requests about one object meet at the same few servers, which
// answer faster about objects that they handled lately.
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
#include "decide/member.h"
#include "decide/ramp.h"
#include "decide/rank.h"

namespace vanillaloft::decide {

// What a backend server's registration says.
struct Registration
{
  std::string mId;
  std::uint64_t mIncarnation = 0; // identifies this start of the server
  std::string mService;
  std::string mDataCentre;
  base::HostPort mAddress;
  unsigned mSlots = 0;
  bool mDraining = false;
  Duration mColdLeft{}; // counted from the receipt of the registration

  // False for another start, also under the same name.
  bool IsSameIncarnation(const Registration& aOther) const
  {
    return mId == aOther.mId && mIncarnation == aOther.mIncarnation;
  }
};

// A backend server's own count of its requests, as it came with an answer.
struct LoadReport
{
  unsigned mRunning = 0;
  unsigned mWaiting = 0;
  unsigned mSlots = 0;
};

// How one request at a backend server ended.
enum class SendResult : std::uint8_t
{
  Answered,
  Failed,    // answered with a failure of its own
  Full,      // rejected because it has no room
  Gone,      // another server has the address
  Refused,   // no connection could be made
  Lost,      // no whole answer came
  Cancelled, // given up by this side for no fault of the server
};

// One start of one backend server, as this instance sees it. Shared with the requests
// under way, so it outlives its registration.
struct Server
{
  Registration mRegistration;
  std::uint64_t mKey = 0; // hash of its name
  ServiceId mService;     // none: not in the configuration in force
  DataCentreId mDataCentre;
  Instant mColdUntil{};
  Instant mPausedUntil{};
  Instant mReportedAt{};
  double mOtherLoad = 0;     // requests of other instances, as of mReportedAt
  double mMeanOtherLoad = 0; // smoothed over reports
  double mFaultRate = 0;     // smoothed share of requests that went wrong
  unsigned mFaultsInRow = 0;
  Instant mSuspectUntil{};      // it failed often; others go first
  Duration mMeanResponseTime{}; // smoothed time of its answers; zero: none came yet
  unsigned mInFlight = 0;       // of this instance
  Bucket mWarmUpBucket;
  // When this instance last sent a request about an object, by the object's hash.
  std::unordered_map<std::uint64_t, Instant> mLastSentByObject;
  bool mGone = false;   // no registration any more
  bool mLapsed = false; // registration missing; it may be back soon

  const std::string& Id() const { return mRegistration.mId; }
};

using ServerPtr = std::shared_ptr<Server>;

// What is asked of a choice.
struct PlacementQuery
{
  ServiceId mService;
  std::string mObject;               // empty: any server is as good as another
  std::vector<RegionId> mRouteHomes; // both lists bind if they are not empty
  std::vector<RegionId> mOrganisationHomes;
  std::vector<const Server*> mTried;
  bool mMaySpill = false; // may go to a server that does not know the object yet
};

// Why no server was chosen.
enum class NoServerReason : std::uint8_t
{
  AllFull,     // there are candidates, but none has a free slot now
  NoCandidate, // no server may take the request
};

struct ServerChoice
{
  ServerPtr mServer; // null: none
  NoServerReason mReason = NoServerReason::NoCandidate;
};

// What a choice knew about one server that holds the object.
struct CandidateState
{
  ServerPtr mServer;
  unsigned mInFlight = 0;             // of this instance
  double mOtherLoad = 0;              // believed of other instances
  std::optional<Duration> mReportAge; // of the belief; nothing: no report came yet
  bool mHasAffinity = false;          // was sent a request about the object lately
  bool mHasRoom = false;
};

constexpr Duration kShiftWindow = std::chrono::seconds(2);

class Fleet
{
public:
  // aMostShift: share of the requests by which the part that leaves the region may change
  // within kShiftWindow.
  Fleet(std::string aOwnDataCentre, const Members& aMembers, double aMaxShift)
    : mOwnName(std::move(aOwnDataCentre))
    , mMembers(aMembers)
    , mShiftLimiter(aMaxShift, kShiftWindow)
  {
  }

  // Puts a configuration in force.
  void SetConfig(ConfigPtr aConfig);

  // Takes note of a registration; another start under the same name replaces the former.
  void Register(const Registration& aRegistration, Instant aNow);
  // The server left or its registration lapsed.
  void Deregister(const std::string& aId);
  // Nothing more is sent to an evacuated data centre.
  void SetEvacuated(const std::string& aDataCentre, bool aEvacuated);
  bool IsEvacuated(const std::string& aDataCentre) const
  {
    return mEvacuated.contains(aDataCentre);
  }

  // True if nothing new may be sent to the server any more.
  bool IsLeaving(const Server& aServer) const;

  // Chooses a server. The caller sends to it and calls Ended, with Cancelled if it did
  // not send after all.
  ServerChoice Choose(const PlacementQuery& aQuery, Instant aNow);
  // What a choice would decide by now, best server first.
  std::vector<CandidateState> DescribeCandidates(const PlacementQuery& aQuery,
                                                 Instant aNow);
  void RecordResult(const ServerPtr& aServer, SendResult aResult, Instant aNow);
  // Takes note of a load report that came with an answer after aTook. Called before
  // Ended.
  void RecordLoad(const ServerPtr& aServer,
                  const LoadReport& aLoad,
                  Duration aResponseTime,
                  Instant aNow);

  const std::map<std::string, ServerPtr>& Servers() const { return mServers; }

private:
  // A server that holds the wished object.
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
  // The servers of an object, best first, and the part of such requests that leaves the
  // region as a rule.
  struct CandidateSet
  {
    std::uint64_t mObject = 0; // its hash
    std::vector<Candidate> mCandidates;
    double mUsualRemoteFraction = 0;
  };

  const Candidate* SelectCandidate(const CandidateSet& aCandidates,
                                   const PlacementQuery& aQuery,
                                   Instant aNow);
  Locality LocalityOf(const Server& aServer) const;
  CandidateSet CandidatesFor(const PlacementQuery& aQuery, Instant aNow) const;

  std::string mOwnName;
  const Members& mMembers;
  ConfigPtr mConfig;
  BoundDemand mBoundDemand; // of the configuration
  DataCentreId mOwn;
  std::map<std::string, ServerPtr> mServers; // by registered name
  std::set<std::string> mEvacuated;          // names of data centres
  ShiftLimiter mShiftLimiter;
};

// Load of a server that is not this instance's own, as it is believed now. A report soon
// says no more than the mean of the reports, and that fades when none come.
double OtherInstancesLoad(const Server& aServer, Instant aNow);

// How long a server whose registration has gone is still used. One that lapsed during an
// outage of the store is back within two seconds of its end if the server lives; one that
// goes later has left.
Duration LapsedServerGrace(std::optional<Instant> aOutageEnd, Instant aNow);

} // namespace vanillaloft::decide
