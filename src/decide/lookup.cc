#include "decide/lookup.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

constexpr std::size_t kMostCandidates = 4; // in one answer

} // namespace

void LookUp::Rebuild(ConfigPtr aConfig,
                     const Members& aMembers,
                     const MemberStatus& aSelf,
                     Instant aNow)
{
  mConfig = std::move(aConfig);
  mOwn = mConfig->FindDataCentre(aSelf.mDataCentre);
  std::vector<std::vector<Candidate>> local(mConfig->mDataCentres.size());
  auto add = [&](const MemberStatus& aStatus) {
    DataCentreId at = mConfig->FindDataCentre(aStatus.mDataCentre);
    bool usable = aStatus.mReady && !aStatus.mLeaving && !at.IsNone();
    if (usable && !mConfig->mDataCentres[at.Value()].mDrained) {
      local[at.Value()].push_back({ aStatus.mEntryAddress, 1 });
    }
  };
  add(aSelf);
  for (const Member* member : aMembers.Living(aNow)) {
    add(member->mStatus);
  }
  mAnswers = local;
  auto fill = [&](std::vector<Candidate>& aAnswer, RegionId aRegion, bool aSameRegion) {
    for (std::size_t i = 0; i < local.size(); ++i) {
      if ((mConfig->mDataCentres[i].mRegion == aRegion) == aSameRegion) {
        aAnswer.insert(aAnswer.end(), local[i].begin(), local[i].end());
      }
    }
  };
  for (std::size_t i = 0; i < mAnswers.size(); ++i) {
    for (bool sameRegion : { true, false }) {
      if (mAnswers[i].empty()) {
        fill(mAnswers[i], mConfig->mDataCentres[i].mRegion, sameRegion);
      }
    }
    mAnswers[i].resize(std::min(mAnswers[i].size(), kMostCandidates));
  }
}

std::span<const Candidate> LookUp::Decide(std::uint32_t aClient) const
{
  if (!mConfig) {
    return {};
  }
  DataCentreId nearest = mConfig->mClientBlocks.Find(aClient);
  return DecideFor(nearest.IsNone() ? mOwn : nearest);
}

std::span<const Candidate> LookUp::DecideFor(DataCentreId aDataCentre) const
{
  return aDataCentre.IsNone() || aDataCentre.Value() >= mAnswers.size()
           ? std::span<const Candidate>()
           : mAnswers[aDataCentre.Value()];
}

} // namespace vanillaloft::decide
