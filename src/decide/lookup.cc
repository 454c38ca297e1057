#include "decide/lookup.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <xxhash.h>

#include "decide/uniform.h"

namespace vanillaloft::decide {

namespace {

constexpr std::size_t kMaxInstances = 4; // in one response

struct ScoredInstance
{
  double mScore = 0;
  EntryInstance mInstance;
};

// Weighted rendezvous hashing: the probability that an instance has the highest score is
// proportional to its weight.
double ScoreOf(const EntryInstance& aInstance, std::uint32_t aClient)
{
  const std::string& address = aInstance.mAddress;
  std::uint64_t hash = XXH3_64bits_withSeed(address.data(), address.size(), aClient);
  return -double(aInstance.mWeight) / std::log(UniformHash(hash));
}

} // namespace

void LookUp::Rebuild(ConfigPtr aConfig,
                     const Members& aMembers,
                     const MemberStatus& aSelf,
                     Instant aNow)
{
  mConfig = std::move(aConfig);
  mOwnDataCentre = mConfig->FindDataCentre(aSelf.mDataCentre);
  std::vector<std::vector<EntryInstance>> local(mConfig->mDataCentres.size());
  auto add = [&](const MemberStatus& aStatus) {
    DataCentreId at = mConfig->FindDataCentre(aStatus.mDataCentre);
    bool usable = aStatus.mReady && !aStatus.mLeaving && !at.IsNone();
    if (usable && !mConfig->mDataCentres[at.Value()].mDrained) {
      unsigned weight = std::max(1U, aStatus.mWeight);
      local[at.Value()].push_back({ aStatus.mEntryAddress, weight });
    }
  };
  add(aSelf);
  for (const Member* member : aMembers.AliveMembers(aNow)) {
    add(member->mStatus);
  }
  mInstances = local;
  auto fill =
    [&](std::vector<EntryInstance>& aInstances, RegionId aRegion, bool aSameRegion) {
      for (std::size_t i = 0; i < local.size(); ++i) {
        if ((mConfig->mDataCentres[i].mRegion == aRegion) == aSameRegion) {
          aInstances.insert(aInstances.end(), local[i].begin(), local[i].end());
        }
      }
    };
  for (std::size_t i = 0; i < mInstances.size(); ++i) {
    for (bool sameRegion : { true, false }) {
      if (mInstances[i].empty()) {
        fill(mInstances[i], mConfig->mDataCentres[i].mRegion, sameRegion);
      }
    }
  }
}

std::vector<EntryInstance> LookUp::InstancesForClient(std::uint32_t aClient) const
{
  if (!mConfig) {
    return {};
  }
  DataCentreId nearest = mConfig->mClientBlocks.Find(aClient);
  return InstancesForDataCentre(nearest.IsNone() ? mOwnDataCentre : nearest, aClient);
}

std::vector<EntryInstance> LookUp::InstancesForDataCentre(DataCentreId aDataCentre,
                                                          std::uint32_t aClient) const
{
  if (aDataCentre.IsNone() || aDataCentre.Value() >= mInstances.size()) {
    return {};
  }
  std::vector<ScoredInstance> scored;
  for (const EntryInstance& instance : mInstances[aDataCentre.Value()]) {
    scored.push_back({ ScoreOf(instance, aClient), instance });
  }
  std::ranges::sort(scored, std::ranges::greater(), &ScoredInstance::mScore);
  scored.resize(std::min(scored.size(), kMaxInstances));
  std::vector<EntryInstance> chosen;
  std::ranges::transform(scored, std::back_inserter(chosen), &ScoredInstance::mInstance);
  return chosen;
}

} // namespace vanillaloft::decide
