#include "decide/watcher.h"

#include <algorithm>
#include <utility>

namespace vanillaloft::decide {

namespace {

// Shortest time in which a connected peer can be expected to answer.
constexpr Duration kMinWatcherTimeout = std::chrono::milliseconds(100);

} // namespace

void StorePath::RecordAnswer(Instant aNow)
{
  mAnsweredAt = aNow;
  mFailures = 0;
}

bool StorePath::Confirmed(Instant aNow) const
{
  return mAnsweredAt && aNow - *mAnsweredAt < kStorePathTimeout && !Lost(aNow);
}

bool StorePath::Lost(Instant aNow) const
{
  bool silent = !mAnsweredAt || aNow - *mAnsweredAt >= kStorePathDoubt;
  return silent && mFailures >= kStorePathFailures;
}

bool StoreReturn::RecordAnswer(Instant aNow)
{
  if (!std::exchange(mFailed, false)) {
    return false;
  }
  if (!IsKnown(aNow)) {
    mOwn = aNow;
  }
  mLatest = aNow;
  return true;
}

bool StoreReturn::RecordTold(Instant aAt)
{
  if (IsKnown(aAt)) {
    return false;
  }
  mLatest = aAt;
  mFailed = false;
  return true;
}

std::optional<Duration> StoreReturn::AgeToTell(Instant aNow) const
{
  bool tells = mOwn && aNow - *mOwn < kTellReturnTime;
  return tells ? std::optional(aNow - *mOwn) : std::nullopt;
}

void WatcherChoice::Reject(const std::string& aAddress, Instant aNow)
{
  mRejectedAt[aAddress] = aNow;
}

bool WatcherChoice::IsRejected(const std::string& aAddress, Instant aNow) const
{
  auto found = mRejectedAt.find(aAddress);
  return found != mRejectedAt.end() && aNow - found->second < kWatcherRejectTime;
}

// If nobody reaches the store, paths do not count, so that one instance still tries for
// the others.
std::vector<std::string> WatcherChoice::Eligible(
  const std::vector<WatcherCandidate>& aOthers,
  bool aSelfEligible,
  Instant aNow) const
{
  std::vector<std::string> withPath;
  std::vector<std::string> all{ mSelf };
  if (aSelfEligible) {
    withPath.push_back(mSelf);
  }
  for (const WatcherCandidate& other : aOthers) {
    if (IsRejected(other.mAddress, aNow)) {
      continue;
    }
    all.push_back(other.mAddress);
    if (other.mHasStorePath) {
      withPath.push_back(other.mAddress);
    }
  }
  return withPath.empty() ? all : withPath;
}

const std::string& WatcherChoice::Update(const std::vector<WatcherCandidate>& aOthers,
                                         bool aSelfEligible,
                                         Instant aNow)
{
  std::erase_if(mRejectedAt,
                [&](const auto& aEntry) { return !IsRejected(aEntry.first, aNow); });
  std::vector<std::string> eligible = Eligible(aOthers, aSelfEligible, aNow);
  const std::string& first = *std::ranges::min_element(eligible);
  if (first != mContender) {
    mContender = first;
    mContenderSince = aNow;
  }
  mFirstChoiceAt = mFirstChoiceAt.value_or(aNow);
  bool starting = aNow - *mFirstChoiceAt < kWatcherStableTime;
  bool stays = std::ranges::find(eligible, mWatcher) != eligible.end();
  if (!stays || starting || aNow - mContenderSince >= kWatcherStableTime) {
    mWatcher = first;
  }
  return mWatcher;
}

FollowStep FollowPlan::Next(bool aShared,
                            bool aSelfWatches,
                            const std::optional<Duration>& aAge,
                            Instant aNow)
{
  bool wasWatching = std::exchange(mWatching, aShared && aSelfWatches);
  if (!aShared) {
    return mDoubtful ? FollowStep::ProbeStore : FollowStep::WatchForSelf;
  }
  if (aSelfWatches) {
    bool recent = wasWatching && !mDoubtful && !IsTooOld(aAge);
    return recent ? FollowStep::WatchForOthers : FollowStep::AskStore;
  }
  bool mayAsk = mAskInterval == Duration::zero() || aNow - mFailedAt >= mAskInterval;
  return IsTooOld(aAge) && mayAsk ? FollowStep::AskStore : FollowStep::AskWatcher;
}

Duration FollowPlan::WatcherTimeout(const std::optional<Duration>& aAge,
                                    Duration aMost) const
{
  if (IsTooOld(aAge)) {
    return aMost;
  }
  return std::clamp(mLimits.mMaxAge - *aAge, kMinWatcherTimeout, aMost);
}

Duration FollowPlan::OwnWatchTime(std::size_t aRank, std::size_t aCount) const
{
  auto place = static_cast<Duration::rep>(aRank + 1);
  return mInStep ? kWatchSpreadTime * place / static_cast<Duration::rep>(aCount)
                 : kOwnWatchTime;
}

void FollowPlan::StoreAnswered(bool aEndedByTime)
{
  mAskInterval = Duration::zero();
  mDoubtful = false;
  mInStep = !aEndedByTime;
}

void FollowPlan::StoreFailed(Instant aNow)
{
  mDoubtful = true;
  mFailedAt = aNow;
  mAskInterval = std::clamp(2 * mAskInterval, kFirstAskInterval, kMaxAskInterval);
}

} // namespace vanillaloft::decide
