// Which few of a service's backend servers hold an object. A server answers fast only
// about the objects that it handled lately, and remembers a limited number of them, so
// each server has to meet as few objects as possible. Callers of one region ask about the
// same objects, whichever data centre they are in.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/types.h"
#include "decide/bound.h"

namespace vanillaloft::decide {

// Where a server stands, seen from the instance that chooses.
enum class Locality : std::uint8_t
{
  OwnDataCentre, // in the own data centre
  OwnRegion,     // in another data centre of the region
  OtherRegion    // in another region
};

// A server that may take a request.
struct EligibleServer
{
  std::size_t mIndex = 0; // the asker's index of it
  std::uint64_t mKey = 0; // hash of its name
  Locality mLocality = Locality::OwnDataCentre;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  double mSlots = 1;
  bool mSuspect = false; // fails often, used only where no other has room
};

// The room that regions have for requests that may be served anywhere.
class RegionCapacity
{
public:
  explicit RegionCapacity(const std::vector<EligibleServer>& aServers,
                          const BoundDemand& aBoundDemand = {});

  // The part of its objects that the own region keeps: all, unless it has less room than
  // regions need on average. The others live in other regions from the start, since a
  // move under load comes too late and is slow.
  double HomeFraction() const;
  // The slots of a server that its region's own callers leave to those of other regions.
  double SpareSlots(const EligibleServer& aServer) const;

private:
  struct Region
  {
    double mSlots = 0;
    double mUnboundSlots = 0; // slots that no organisation bound to the region needs
    bool mOwn = false;
  };

  std::map<base::RegionId, Region> mRegions;
  double mUnboundDemand = 0; // slots that the unbound callers of one region need
};

// The servers that hold an object, best first: its home in the region, the copy that the
// region's other data centre uses, and one in another region, which comes first for
// objects that the region does not keep. Alike on all instances that see the same
// servers; few objects move when a server comes or goes.
std::vector<EligibleServer> RankCandidates(std::uint64_t aObject,
                                           const std::vector<EligibleServer>& aServers,
                                           const RegionCapacity& aCapacity);

} // namespace vanillaloft::decide
