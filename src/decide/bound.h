// The demand that is bound to certain regions because organisations are restricted to
// their home regions. Bound demand has priority on the region's servers.
#pragma once

#include <vector>

#include "decide/config.h"

namespace vanillaloft::decide {

// Fraction of all requests, from 0 to 1, that is bound to each region.
struct BoundDemand
{
  std::vector<double> mByRegion;

  double Of(RegionId aRegion) const;
  double Sum() const;
};

// Estimates the bound demand from the organisations' rate limits, which are the same on
// all instances. The actual request rates differ by instance and over time.
BoundDemand EstimateBoundDemand(const Config& aConfig);

} // namespace vanillaloft::decide
