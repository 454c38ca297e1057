#include "decide/ramp.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

// With fewer requests in a window a share says little; one request may always leave.
constexpr double kFewest = 10;

} // namespace

void ShiftRamp::Forget(base::Instant aNow)
{
  while (!mRecent.empty() && aNow - mRecent.front().mAt >= mWindow) {
    Sent sent = mRecent.front();
    mRecent.pop_front();
    mOlder.push_back(sent);
    --mNow.mTotal;
    mNow.mLeft -= sent.mLeft ? 1 : 0;
    ++mBefore.mTotal;
    mBefore.mLeft += sent.mLeft ? 1 : 0;
  }
  while (!mOlder.empty() && aNow - mOlder.front().mAt >= 2 * mWindow) {
    --mBefore.mTotal;
    mBefore.mLeft -= mOlder.front().mLeft ? 1 : 0;
    mOlder.pop_front();
  }
}

bool ShiftRamp::MayLeave(double aUsual, base::Instant aNow)
{
  Forget(aNow);
  double total = std::max(mNow.mTotal + 1, kFewest);
  return mNow.mLeft + 1 <= (mBefore.ShareOr(aUsual) + mMostChange) * total;
}

bool ShiftRamp::MustLeave(double aUsual, base::Instant aNow)
{
  Forget(aNow);
  return mNow.mLeft < (mBefore.ShareOr(aUsual) - mMostChange) * (mNow.mTotal + 1);
}

void ShiftRamp::Count(bool aLeft, base::Instant aNow)
{
  Forget(aNow);
  mRecent.push_back({ aNow, aLeft });
  ++mNow.mTotal;
  mNow.mLeft += aLeft ? 1 : 0;
}

} // namespace vanillaloft::decide
