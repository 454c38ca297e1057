#include "decide/claim.h"

#include <algorithm>
#include <tuple>

namespace vanillaloft::decide {

namespace {

// A holder answers calls of its whole data centre, so the instance with the most weight
// comes first.
bool ComesFirst(const MemberStatus& aOne, const MemberStatus& aOther)
{
  return std::tie(aOther.mWeight, aOne.mSelf.mAddress) <
         std::tie(aOne.mWeight, aOther.mSelf.mAddress);
}

} // namespace

// True if this instance holds the shares, or if it should claim them.
bool ShareClaim::MayClaim(const MemberStatus& aSelf,
                          const Members& aMembers,
                          Instant aNow)
{
  std::vector<const Member*> mates = aMembers.AliveMembers(aNow);
  std::erase_if(mates, [&](const Member* aMember) {
    return aMember->mStatus.mDataCentre != aSelf.mDataCentre;
  });
  auto holds = [](const Member* aMate) {
    return aMate->mStatus.mHoldsShares && !aMate->mStatus.mLeaving;
  };
  if (aSelf.mHoldsShares || std::ranges::any_of(mates, holds)) {
    mNoHolderSince.reset();
    return aSelf.mHoldsShares;
  }
  if (aSelf.mLeaving) {
    return false;
  }
  if (!mNoHolderSince) {
    mNoHolderSince = aNow;
  }
  auto claims = [&](const Member* aMate) {
    const MemberStatus& mate = aMate->mStatus;
    return mate.mHasStorePath && !mate.mLeaving && ComesFirst(mate, aSelf);
  };
  return std::ranges::none_of(mates, claims) || aNow - *mNoHolderSince >= kClaimPatience;
}

bool ShareClaim::IsDue(const MemberStatus& aSelf, const Members& aMembers, Instant aNow)
{
  bool mayClaim = MayClaim(aSelf, aMembers, aNow);
  return mayClaim || !mReadAt || aNow - *mReadAt >= kShareReadInterval;
}

} // namespace vanillaloft::decide
