#include "decide/lookup.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

constexpr std::size_t kMaxInstances = 4; // in one response

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
      local[at.Value()].push_back({ aStatus.mEntryAddress, 1 });
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
    mInstances[i].resize(std::min(mInstances[i].size(), kMaxInstances));
  }
}

std::span<const EntryInstance> LookUp::InstancesForClient(std::uint32_t aClient) const
{
  if (!mConfig) {
    return {};
  }
  DataCentreId nearest = mConfig->mClientBlocks.Find(aClient);
  return InstancesForDataCentre(nearest.IsNone() ? mOwnDataCentre : nearest);
}

std::span<const EntryInstance> LookUp::InstancesForDataCentre(
  DataCentreId aDataCentre) const
{
  return aDataCentre.IsNone() || aDataCentre.Value() >= mInstances.size()
           ? std::span<const EntryInstance>()
           : mInstances[aDataCentre.Value()];
}

} // namespace vanillaloft::decide
