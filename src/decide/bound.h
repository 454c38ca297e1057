// How much of the demand may be served in one region only, because organisations are
// bound to their home regions. What is bound to a region has the first claim on its
// servers.
#pragma once

#include <vector>

#include "decide/config.h"

namespace vanillaloft::decide {

// Parts of all requests, from 0 to 1, by region.
struct BoundDemand
{
  std::vector<double> mByRegion;

  double Of(RegionId aRegion) const;
  double Sum() const;
};

// Estimated from the organisations' limits, which every instance knows alike: what
// callers really send differs by instance and moment.
BoundDemand EstimateBoundDemand(const Config& aConfig);

} // namespace vanillaloft::decide
