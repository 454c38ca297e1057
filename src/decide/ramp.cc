#include "decide/ramp.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

// Minimum of requests assumed per window, since a fraction of fewer is not significant.
// It allows one request to leave at any time.
constexpr double kMinRequests = 10;

} // namespace

void ShiftLimiter::AdvanceWindows(base::Instant aNow)
{
  while (!mCurrentRequests.empty() && aNow - mCurrentRequests.front().mAt >= mWindow) {
    Request request = mCurrentRequests.front();
    mCurrentRequests.pop_front();
    mPreviousRequests.push_back(request);
    --mCurrent.mTotal;
    mCurrent.mLeft -= request.mLeft ? 1 : 0;
    ++mPrevious.mTotal;
    mPrevious.mLeft += request.mLeft ? 1 : 0;
  }
  while (!mPreviousRequests.empty() &&
         aNow - mPreviousRequests.front().mAt >= 2 * mWindow) {
    --mPrevious.mTotal;
    mPrevious.mLeft -= mPreviousRequests.front().mLeft ? 1 : 0;
    mPreviousRequests.pop_front();
  }
}

bool ShiftLimiter::MayLeave(double aUsualFraction, base::Instant aNow)
{
  AdvanceWindows(aNow);
  double total = std::max(mCurrent.mTotal + 1, kMinRequests);
  return mCurrent.mLeft + 1 <=
         (mPrevious.FractionOr(aUsualFraction) + mMaxChange) * total;
}

bool ShiftLimiter::MustLeave(double aUsualFraction, base::Instant aNow)
{
  AdvanceWindows(aNow);
  return mCurrent.mLeft <
         (mPrevious.FractionOr(aUsualFraction) - mMaxChange) * (mCurrent.mTotal + 1);
}

void ShiftLimiter::Count(bool aLeft, base::Instant aNow)
{
  AdvanceWindows(aNow);
  mCurrentRequests.push_back({ aNow, aLeft });
  ++mCurrent.mTotal;
  mCurrent.mLeft += aLeft ? 1 : 0;
}

} // namespace vanillaloft::decide
