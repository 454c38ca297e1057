// Limit on how fast traffic moves between regions, so that nobody's servers are met by a
// sudden wave of objects that they do not know. Compares the share of requests that left
// the own region within a window with that of the window before, in both directions.
#pragma once

#include <deque>

#include "base/types.h"

namespace vanillaloft::decide {

class ShiftLimiter
{
public:
  // aMostChange is a share of the requests, from 0 to 1.
  ShiftLimiter(double aMaxChange, base::Duration aWindow)
    : mMaxChange(aMaxChange * kSlidingWindowFactor)
    , mWindow(aWindow)
  {
  }

  // True if one more request may leave the region. aUsual is the share that leaves as a
  // rule, for windows without requests: that of a process that has just started.
  bool MayLeave(double aUsualFraction, base::Instant aNow);
  // True if this request has to leave, because traffic would come back too fast.
  bool MustLeave(double aUsualFraction, base::Instant aNow);
  // Counts a request that was sent.
  void Count(bool aLeft, base::Instant aNow);

private:
  // Windows slide, so requests that left in a bunch move from the one to the other; the
  // limit that is kept at each request is lower by this.
  static constexpr double kSlidingWindowFactor = 0.63;

  struct Request
  {
    base::Instant mAt{};
    bool mLeft = false;
  };
  struct Tally
  {
    double mTotal = 0;
    double mLeft = 0;

    double FractionOr(double aUsualFraction) const
    {
      return mTotal > 0 ? mLeft / mTotal : aUsualFraction;
    }
  };

  void AdvanceWindows(base::Instant aNow);

  double mMaxChange;
  base::Duration mWindow;
  std::deque<Request> mCurrentRequests;  // of the window now
  std::deque<Request> mPreviousRequests; // of the window before
  Tally mCurrent;
  Tally mPrevious;
};

} // namespace vanillaloft::decide
