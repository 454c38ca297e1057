// Limits how fast traffic moves between regions, so that no servers get many new objects
// at once, for which they respond slowly. Compares the fraction of requests that left the
// own region within a window with that of the previous window, in both directions.
#pragma once

#include <deque>

#include "base/types.h"

namespace vanillaloft::decide {

class ShiftLimiter
{
public:
  // aMaxChange is a fraction of the requests, from 0 to 1.
  ShiftLimiter(double aMaxChange, base::Duration aWindow)
    : mMaxChange(aMaxChange * kSlidingWindowFactor)
    , mWindow(aWindow)
  {
  }

  // True if one more request may leave the region. aUsualFraction is the fraction that
  // usually leaves, for use while the previous window has no requests, as after a start
  // of the process.
  bool MayLeave(double aUsualFraction, base::Instant aNow);
  // True if this request has to leave the region because traffic would return too fast.
  bool MustLeave(double aUsualFraction, base::Instant aNow);
  // Counts a sent request.
  void Count(bool aLeft, base::Instant aNow);

private:
  // The windows slide, so a burst of requests that left moves from one window to the
  // other. The limit applied at each request is therefore lower by this factor.
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
  std::deque<Request> mCurrentRequests;  // of the current window
  std::deque<Request> mPreviousRequests; // of the previous window
  Tally mCurrent;
  Tally mPrevious;
};

} // namespace vanillaloft::decide
