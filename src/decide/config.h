// The operator configuration as typed tables with dense indexes, immutable once parsed.
// docs/CONFIGURATION.md describes the format.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "decide/blocks.h"
#include "decide/bucket.h"

namespace vanillaloft::decide {

using base::BackendServerId;
using base::BudgetId;
using base::DataCentreId;
using base::Duration;
using base::Incarnation;
using base::Instant;
using base::OrganisationId;
using base::ProfileId;
using base::RegionId;
using base::Revision;
using base::RouteId;
using base::ServiceId;

struct Region
{
  std::string mName;
  std::vector<DataCentreId> mDataCentres;
};

struct DataCentre
{
  std::string mName;
  RegionId mRegion;
  bool mDrained = false; // no new requests from other data centres, left out of lookups
};

// Limit on what the whole fleet admits. Budgets of all kinds are divided into shares by
// the same mechanism (share.h).
enum class BudgetKind : std::uint8_t
{
  Organisation, // requests of one organisation
  Link,         // kilobytes from one region to another
  Spill,        // requests that a region accepts from other regions
};

struct Budget
{
  BudgetKind mKind = BudgetKind::Organisation;
  std::string mName;
  Rate mTotal;
};

// How an instance treats keys while it cannot check whether they were withdrawn.
enum class IsolatedKeys : std::uint8_t
{
  Accept,
  Refuse
};

struct Organisation
{
  std::string mName;
  BudgetId mBudget; // none: no limit
  IsolatedKeys mIsolatedKeys = IsolatedKeys::Accept;
  std::optional<unsigned> mPriority; // overrides the route's; 0 is the most urgent
  std::vector<RegionId> mHomes;      // empty: all regions
};

// Named set of request limits that services refer to.
struct Profile
{
  std::string mName;
  Duration mDeadline{};       // from arrival to the complete response
  Duration mQueueTime{};      // maximum wait for a token or a slot
  unsigned mRetries = 0;      // additional attempts for a lookup
  unsigned mRetryPercent = 0; // maximum of retries, in percent of requests
  unsigned mSpillPercent = 0; // slots that other data centres may use
  unsigned mShiftCapPercent = 0;
  Duration mWarmUpTime{}; // time until a cold backend server gets its full load
  Duration mLookUpTtl{};  // time to live of lookup responses
};

enum class RouteKind : std::uint8_t
{
  Open,   // idempotent and served without a key
  Lookup, // idempotent
  Order   // not idempotent; needs an order ticket
};

// One service of a split route and its weight in the division of requests.
struct SplitPart
{
  ServiceId mService;
  unsigned mWeight = 1;
};

struct Route
{
  std::string mPath; // prefix
  RouteKind mKind = RouteKind::Lookup;
  ServiceId mService; // of a split route: the first one
  std::string mHost;  // empty: any host
  std::vector<SplitPart> mSplit;
  bool mPublic = false;    // served without a key
  bool mAnyMethod = false; // false: the kind determines the accepted methods
  bool mSticky =
    false; // uses affinity: servers respond faster about recently handled objects
  Duration mTimeout{};       // from arrival to the final response; zero: the profile's
  Duration mLatencyTarget{}; // zero: none
  unsigned mPriority = 0;    // 0 is the most urgent
  unsigned mMaxServers = 0; // maximum of backend servers per request; zero: the profile's
  std::vector<RegionId> mHomes; // empty: all regions

  bool NeedsKey() const { return !mPublic && mKind != RouteKind::Open; }
};

struct Service
{
  std::string mName;
  ProfileId mProfile;
  std::string mProbePath;    // of the health check
  double mColdPerSecond = 0; // request rate of a cold server; zero: unlimited
};

struct BackendServer
{
  std::string mName;
  ServiceId mService;
  DataCentreId mDataCentre;
  std::string mHost;
  std::uint16_t mPort = 0;
  unsigned mSlots = 0;
  bool mDrained = false;
};

// Moves a percentage of a service's traffic from one data centre to another.
struct Shift
{
  ServiceId mService;
  DataCentreId mFrom;
  DataCentreId mTo;
  unsigned mPercent = 0;
};

enum class Action : std::uint8_t
{
  Drain,
  Undrain,
  Shift,
  Pause,
  Wait,
  Check
};

// One step of a runbook. Targets are names from the configuration.
struct RunbookStep
{
  Action mAction = Action::Check;
  std::string mTarget; // backend server or data centre; only for drain and undrain
  Shift mShift;        // only for shift
  Duration mWait{};    // only for wait
};

struct Runbook
{
  std::string mName;
  std::vector<RunbookStep> mSteps;
};

// SHA-256 digest of a key.
using KeyDigest = std::array<std::uint8_t, 32>;

struct KeyEntry
{
  KeyDigest mDigest{};
  std::string mId;
  OrganisationId mOrganisation;
};

// Limits on the size of callers' requests and on the idle time of their connections.
// Zero: the instance's own setting.
struct CallerLimits
{
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
  Duration mIdleTime{};
};

struct Config
{
  Revision mRevision = 0;
  std::string mDigest; // SHA-256 of mText, hexadecimal
  std::string mText;   // as accepted; relayed to peers unchanged
  unsigned mFloorPercent = 0;
  std::vector<Region> mRegions;
  std::vector<DataCentre> mDataCentres;
  std::vector<Budget> mBudgets;
  std::vector<Organisation> mOrganisations;
  std::vector<KeyEntry> mKeys; // sorted by digest
  std::vector<Profile> mProfiles;
  std::vector<Service> mServices;
  std::vector<Route> mRoutes; // longest path first
  std::vector<BackendServer> mBackendServers;
  std::vector<Shift> mShifts;
  std::vector<Runbook> mRunbooks;
  ClientBlocks mClientBlocks;
  CallerLimits mLimits;

  const Profile& ProfileOf(ServiceId aService) const
  {
    return mProfiles[mServices[aService.Value()].mProfile.Value()];
  }
  // The Find functions return none if there is no such entry.
  DataCentreId FindDataCentre(std::string_view aName) const;
  ServiceId FindService(std::string_view aName) const;
  OrganisationId FindOrganisation(std::string_view aName) const;
  RegionId FindRegion(std::string_view aName) const;
  // The route with the longest matching path prefix among those that accept the host.
  RouteId FindRoute(std::string_view aHost, std::string_view aPath) const;
  // The organisation that owns a key.
  OrganisationId FindKey(const KeyDigest& aDigest) const;
};

using ConfigPtr = std::shared_ptr<const Config>;

// Thrown for an invalid configuration. The message names the JSON path and the cause.
class ConfigError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Parses and validates a configuration text; throws ConfigError.
ConfigPtr ParseConfig(std::string_view aText);

// SHA-256 of an API key, as stored in the configuration.
KeyDigest DigestKey(std::string_view aKey);

// Lower-case hexadecimal form of bytes.
std::string Hex(std::string_view aBytes);

// Digest of a configuration text, hexadecimal.
std::string DigestText(std::string_view aText);

} // namespace vanillaloft::decide
