#include "decide/bound.h"

#include <numeric>

namespace vanillaloft::decide {

namespace {

// In micro-tokens a second; 0 for an organisation without a limit.
double LimitOf(const Config& aConfig, const Organisation& aOrganisation)
{
  BudgetId budget = aOrganisation.mBudget;
  return budget.IsNone() ? 0 : double(aConfig.mBudgets[budget.Value()].mTotal.mPerSecond);
}

// Of the organisations that have a limit; 1 if none has.
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

double BoundParts::Of(RegionId aRegion) const
{
  return aRegion.Value() < mByRegion.size() ? mByRegion[aRegion.Value()] : 0;
}

double BoundParts::Sum() const
{
  return std::accumulate(mByRegion.begin(), mByRegion.end(), 0.0);
}

BoundParts BoundPartsOf(const Config& aConfig)
{
  BoundParts bound{ std::vector<double>(aConfig.mRegions.size()) };
  double otherwise = MeanLimit(aConfig);
  double all = 0;
  for (const Organisation& organisation : aConfig.mOrganisations) {
    double limit =
      organisation.mBudget.IsNone() ? otherwise : LimitOf(aConfig, organisation);
    all += limit;
    for (RegionId home : organisation.mHomes) {
      bound.mByRegion[home.Value()] += limit / double(organisation.mHomes.size());
    }
  }
  for (double& part : bound.mByRegion) {
    part = all > 0 ? part / all : 0;
  }
  return bound;
}

} // namespace vanillaloft::decide
