// The operator configuration: typed tables with dense indexes, immutable once parsed. The
// format is described in docs/CONFIGURATION.md.
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
  bool mDrained = false; // no new work from other data centres, not named by look-ups
};

// What the fleet may admit in total for one budget. All budgets, whatever they limit, are
// shared out by the same mechanism (share.h).
enum class BudgetKind : std::uint8_t
{
  Organisation, // requests of one organisation
  Link,         // kilobytes from one region to another
  Spill,        // requests that a region accepts for other regions
};

struct Budget
{
  BudgetKind mKind = BudgetKind::Organisation;
  std::string mName;
  Rate mTotal;
};

// What an instance does with keys while it can confirm no withdrawal.
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
  std::optional<unsigned> mPriority; // goes before the route's, 0 first
  std::vector<RegionId> mHomes;      // empty: everywhere
};

// Named behaviour of services.
struct Profile
{
  std::string mName;
  Duration mDeadline{};       // from arrival to the whole answer
  Duration mQueueTime{};      // longest wait for a token or a slot
  unsigned mRetries = 0;      // further tries of a lookup
  unsigned mRetryPercent = 0; // retries at most this share of requests
  unsigned mSpillPercent = 0; // slots kept open to other data centres
  unsigned mShiftCapPercent = 0;
  Duration mRamp{};       // time in which a cold backend server gets its full load
  Duration mLookUpLife{}; // time to live of look-up answers
};

enum class RouteKind : std::uint8_t
{
  Open,   // idempotent and served without a key
  Lookup, // idempotent
  Order   // not idempotent; needs an order ticket
};

// One service of a split route with its part of the requests.
struct SplitPart
{
  ServiceId mService;
  unsigned mWeight = 1;
};

struct Route
{
  std::string mPath; // prefix
  RouteKind mKind = RouteKind::Lookup;
  ServiceId mService; // the first one of a split
  std::string mHost;  // empty: any host
  std::vector<SplitPart> mSplit;
  bool mPublic = false;         // served without a key
  bool mAnyMethod = false;      // otherwise the kind tells which methods are accepted
  bool mSticky = false;         // servers answer faster about objects that they know
  Duration mTimeout{};          // from arrival to the final answer; zero: the profile's
  Duration mLatencyTarget{};    // zero: none
  unsigned mPriority = 0;       // 0 first
  unsigned mMostServers = 0;    // backend servers tried at most; zero: the profile's
  std::vector<RegionId> mHomes; // empty: everywhere

  bool NeedsKey() const { return !mPublic && mKind != RouteKind::Open; }
};

struct Service
{
  std::string mName;
  ProfileId mProfile;
  std::string mProbePath;    // asked for a server's health
  double mColdPerSecond = 0; // requests that a cold server takes; zero: any number
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

// A planned move of part of a service's traffic between data centres.
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

// One step of a runbook, named as operators know it.
struct Step
{
  Action mAction = Action::Check;
  std::string mTarget; // backend server or data centre of drain and undrain
  Shift mShift;        // of shift
  Duration mWait{};    // of wait
};

struct Runbook
{
  std::string mName;
  std::vector<Step> mSteps;
};

// SHA-256 digest of a key.
using KeyDigest = std::array<std::uint8_t, 32>;

struct KeyEntry
{
  KeyDigest mDigest{};
  std::string mId;
  OrganisationId mOrganisation;
};

// What callers may send and how long their connections may stay idle. Zero: the
// instance's own setting.
struct CallerLimits
{
  std::size_t mHeadBytes = 0;
  std::size_t mBodyBytes = 0;
  Duration mIdleTime{};
};

struct Config
{
  Revision mRevision = 0;
  std::string mDigest; // of the text, hexadecimal
  std::string mText;   // as accepted, relayed to peers without change
  unsigned mFloorPercent = 0;
  std::vector<Region> mRegions;
  std::vector<DataCentre> mDataCentres;
  std::vector<Budget> mBudgets;
  std::vector<Organisation> mOrganisations;
  std::vector<KeyEntry> mKeys; // ordered by digest
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
  // The data centre of that name, or none.
  DataCentreId FindDataCentre(std::string_view aName) const;
  // The service of that name, or none.
  ServiceId FindService(std::string_view aName) const;
  // The organisation of that name, or none.
  OrganisationId FindOrganisation(std::string_view aName) const;
  // The region of that name, or none.
  RegionId FindRegion(std::string_view aName) const;
  // The route with the longest matching path among those of the host, or none.
  RouteId FindRoute(std::string_view aHost, std::string_view aPath) const;
  // The organisation that a key belongs to, or none.
  OrganisationId FindKey(const KeyDigest& aDigest) const;
};

using ConfigPtr = std::shared_ptr<const Config>;

// A configuration that is not acceptable. The message names the path and the cause.
class ConfigError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Parses and checks a configuration text; throws ConfigError.
ConfigPtr ParseConfig(std::string_view aText);

// Digest of a key as the configuration keeps it.
KeyDigest DigestKey(std::string_view aKey);

// Lower-case hexadecimal form of bytes.
std::string Hex(std::string_view aBytes);

// Digest of a configuration text, hexadecimal.
std::string DigestText(std::string_view aText);

} // namespace vanillaloft::decide
