#include "decide/allocation.h"

#include <algorithm>

#include "decide/rank.h"

namespace vanillaloft::decide {

namespace {

// Assumed demand of a region's own callers, as a fraction of the regions' mean demand.
// Only the remaining capacity is offered to other regions.
constexpr double kOwnDemandFraction = 0.5;
constexpr double kMinSpareFraction = 0.05;

} // namespace

RegionCapacity::RegionCapacity(const std::vector<EligibleServer>& aServers,
                               const BoundDemand& aBoundDemand)
{
  double total = 0;
  for (const EligibleServer& server : aServers) {
    Region& region = mRegions[server.mRegion];
    region.mSlots += server.mSlots;
    region.mOwn = region.mOwn || server.mLocality != Locality::OtherRegion;
    total += server.mSlots;
  }
  for (auto& [id, region] : mRegions) {
    region.mUnboundSlots = std::max(0.0, region.mSlots - aBoundDemand.Of(id) * total);
  }
  mUnboundDemand =
    (1 - aBoundDemand.Sum()) * total / double(std::max<std::size_t>(1, mRegions.size()));
}

double RegionCapacity::HomeFraction() const
{
  if (mRegions.empty() || mUnboundDemand <= 0) {
    return 1;
  }
  double own = 0;
  for (const auto& [id, region] : mRegions) {
    own += region.mOwn ? region.mUnboundSlots : 0;
  }
  return std::min(1.0, own / mUnboundDemand);
}

double RegionCapacity::SpareSlots(const EligibleServer& aServer) const
{
  const Region& region = mRegions.at(aServer.mRegion);
  double spare =
    (region.mUnboundSlots - kOwnDemandFraction * mUnboundDemand) / region.mSlots;
  return aServer.mSlots * std::max(kMinSpareFraction, spare);
}

} // namespace vanillaloft::decide
