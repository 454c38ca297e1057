#include "decide/bound.h"

#include <numeric>

namespace vanillaloft::decide {

namespace {

// Requests a second of the organisations that have a limit, on average; 1 if none has.
double MeanLimit(const Config& aConfig)
{
  double sum = 0;
  double count = 0;
  for (const Organisation& organisation : aConfig.mOrganisations) {
    if (!organisation.mBudget.IsNone()) {
      sum += double(aConfig.mBudgets[organisation.mBudget.At()].mTotal.mPerSecond);
      ++count;
    }
  }
  return sum > 0 ? sum / count : 1;
}

} // namespace

double BoundParts::Of(RegionId aRegion) const
{
  return aRegion.At() < mByRegion.size() ? mByRegion[aRegion.At()] : 0;
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
    BudgetId budget = organisation.mBudget;
    double limit = budget.IsNone()
                     ? otherwise
                     : double(aConfig.mBudgets[budget.At()].mTotal.mPerSecond);
    all += limit;
    for (RegionId home : organisation.mHomes) {
      bound.mByRegion[home.At()] += limit / double(organisation.mHomes.size());
    }
  }
  for (double& part : bound.mByRegion) {
    part = all > 0 ? part / all : 0;
  }
  return bound;
}

} // namespace vanillaloft::decide
