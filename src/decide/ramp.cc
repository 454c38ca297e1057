#include "decide/ramp.h"

#include <algorithm>
#include <cmath>

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

// Parts of the allowed change: what leaves without a limit, what may leave in one burst,
// and what the share moves within a window. Their sum, as means over a window in which
// the share moves evenly, keeps to the whole.
constexpr double kFreePart = 0.25;
constexpr double kBurstPart = 0.4;
constexpr double kMovePart = 0.66;
// The share grows while requests were denied within this time, and shrinks otherwise.
constexpr base::Duration kDenialLife = std::chrono::milliseconds(200);
// Requests that stayed where they should have left, before one has to leave.
constexpr double kMostStays = 2;

} // namespace

ShiftRamp::ShiftRamp(double aMostChange, base::Duration aWindow)
  : mMostChange(aMostChange)
  , mWindow(aWindow)
  , mShare(aMostChange * kFreePart)
{
}

double ShiftRamp::MostCredit() const
{
  return std::max(1.0, mMostChange * kBurstPart * mRecent);
}

void ShiftRamp::Move(base::Instant aNow)
{
  Seconds passed = aNow - mMovedAt;
  mMovedAt = aNow;
  mRecent *= std::exp(-passed / Seconds(mWindow));
  bool wanted = mDeniedAt != base::Instant() && aNow - mDeniedAt < kDenialLife;
  double speed = mMostChange * kMovePart / Seconds(mWindow).count();
  double change = speed * std::min(passed, Seconds(kDenialLife)).count();
  mShare = std::clamp(
    mShare + (wanted ? change : -change), mMostChange * kFreePart, 1.0);
}

bool ShiftRamp::MayLeave(base::Instant aNow)
{
  Move(aNow);
  return mCredit + mShare >= 1;
}

bool ShiftRamp::MustLeave(base::Instant aNow)
{
  Move(aNow);
  return mShare > mMostChange * kFreePart && mCredit + mShare >= kMostStays;
}

void ShiftRamp::Count(bool aLeft, base::Instant aNow)
{
  Move(aNow);
  ++mRecent;
  mCredit = std::min(mCredit + mShare - (aLeft ? 1 : 0), MostCredit());
}

} // namespace vanillaloft::decide
