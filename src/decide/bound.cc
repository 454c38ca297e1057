#include "decide/bound.h"

#include <numeric>

namespace vanillaloft::decide {

namespace {

// Rate limit in micro-tokens per second; 0 for an organisation without a limit.
double LimitOf(const Config& aConfig, const Organisation& aOrganisation)
{
  BudgetId budget = aOrganisation.mBudget;
  return budget.IsNone() ? 0 : double(aConfig.mBudgets[budget.Value()].mTotal.mPerSecond);
}

// Mean rate limit of the organisations that have one; 1 if none has.
double MeanLimit(const Config& aConfig)
{
  double sum = 0;
  double count = 0;
  for (const Organisation& organisation : aConfig.mOrganisations) {
    if (!organisation.mBudget.IsNone()) {
      sum += LimitOf(aConfig, organisation);
      ++count;
    }
  }
  return sum > 0 ? sum / count : 1;
}

} // namespace

double BoundDemand::Of(RegionId aRegion) const
{
  return aRegion.Value() < mByRegion.size() ? mByRegion[aRegion.Value()] : 0;
}

double BoundDemand::Sum() const
{
  return std::accumulate(mByRegion.begin(), mByRegion.end(), 0.0);
}

BoundDemand EstimateBoundDemand(const Config& aConfig)
{
  BoundDemand bound{ std::vector<double>(aConfig.mRegions.size()) };
  double defaultLimit = MeanLimit(aConfig);
  double total = 0;
  for (const Organisation& organisation : aConfig.mOrganisations) {
    double limit =
      organisation.mBudget.IsNone() ? defaultLimit : LimitOf(aConfig, organisation);
    total += limit;
    for (RegionId home : organisation.mHomes) {
      if (!home.IsNone()) { // a home may be in a region that is not known here
        bound.mByRegion[home.Value()] += limit / double(organisation.mHomes.size());
      }
    }
  }
  for (double& fraction : bound.mByRegion) {
    fraction = total > 0 ? fraction / total : 0;
  }
  return bound;
}

} // namespace vanillaloft::decide
