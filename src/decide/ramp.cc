#include "decide/ramp.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

// Part of the allowed change that single requests use at once.
constexpr double kFreePart = 0.25;
// The share grows while requests were denied within this time, and shrinks otherwise.
constexpr base::Duration kDenialLife = std::chrono::milliseconds(200);
// Credit is kept for this many requests at most, either way.
constexpr double kMostCredit = 2;

} // namespace

ShiftRamp::ShiftRamp(double aMostChange, base::Duration aWindow)
  : mFreeShare(aMostChange * kFreePart)
  , mSpeed(aMostChange * (1 - kFreePart) / Seconds(aWindow).count())
  , mShare(mFreeShare)
{
}

void ShiftRamp::Move(base::Instant aNow)
{
  Seconds passed = std::min(aNow - mMovedAt, kDenialLife);
  mMovedAt = aNow;
  bool wanted = mDeniedAt != base::Instant() && aNow - mDeniedAt < kDenialLife;
  double change = mSpeed * passed.count() * (wanted ? 1 : -1);
  mShare = std::clamp(mShare + change, mFreeShare, 1.0);
}

bool ShiftRamp::MayLeave(base::Instant aNow)
{
  Move(aNow);
  return mCredit + mShare >= 1;
}

bool ShiftRamp::MustLeave(base::Instant aNow)
{
  Move(aNow);
  return mShare > mFreeShare && mCredit + mShare - mFreeShare >= kMostCredit;
}

void ShiftRamp::Count(bool aLeft, base::Instant aNow)
{
  Move(aNow);
  mCredit = std::clamp(mCredit + mShare - (aLeft ? 1 : 0), -kMostCredit, kMostCredit);
}

} // namespace vanillaloft::decide
