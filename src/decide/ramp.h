// Limit on how fast traffic moves between regions, so that nobody's servers are met by a
// sudden wave of objects that they do not know, and so that traffic does not swing back
// at once. The share of requests that leave the region follows the demand at a bounded
// speed, in both directions.
#pragma once

#include "base/types.h"

namespace vanillaloft::decide {

class ShiftRamp
{
public:
  // aMostChange is the share of the requests, from 0 to 1, that may change their region
  // from one window to the next.
  ShiftRamp(double aMostChange, base::Duration aWindow);

  // True if one more request may leave the region.
  bool MayLeave(base::Instant aNow);
  // True if this request has to leave, because traffic would come back too fast.
  bool MustLeave(base::Instant aNow);
  // A request would have left but might not.
  void Denied(base::Instant aNow) { mDeniedAt = aNow; }
  // Counts a request that was sent.
  void Count(bool aLeft, base::Instant aNow);

  double Share() const { return mShare; }

private:
  void Move(base::Instant aNow);

  double MostCredit() const;

  double mMostChange;
  base::Duration mWindow;
  double mShare;           // that may leave now
  double mCredit = 0;      // requests that may leave, by the share of those sent
  double mRecent = 0;      // requests sent, smoothed over a window
  base::Instant mMovedAt{};
  base::Instant mDeniedAt{};
};

} // namespace vanillaloft::decide
