// Divides the demand of the regions' callers among the regions by the capacity of their
// backend servers.
#pragma once

#include <map>
#include <vector>

#include "base/types.h"
#include "decide/bound.h"

namespace vanillaloft::decide {

struct EligibleServer;

// Capacity of the regions for requests that are not bound to a region.
class RegionCapacity
{
public:
  explicit RegionCapacity(const std::vector<EligibleServer>& aServers,
                          const BoundDemand& aBoundDemand = {});

  // Fraction of objects that the own region handles itself: all, unless it has less
  // capacity than regions need on average. The other objects are placed in other regions
  // from the start, since moving them under load is slow and comes too late.
  double HomeFraction() const;
  // The slots of a server that its region's callers leave free for other regions.
  double SpareSlots(const EligibleServer& aServer) const;

private:
  struct Region
  {
    double mSlots = 0;
    double mUnboundSlots = 0; // slots not needed by organisations bound to the region
    bool mOwn = false;
  };

  std::map<base::RegionId, Region> mRegions;
  double mUnboundDemand = 0; // slots needed by the unbound callers of one region
};

} // namespace vanillaloft::decide
