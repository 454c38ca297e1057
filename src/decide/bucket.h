// Token bucket in whole micro-tokens, so that sums over holders are exact.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/types.h"

namespace vanillaloft::decide {

// A thousandth of a thousandth of a token.
using MicroTokens = std::int64_t;
constexpr MicroTokens kToken = 1'000'000;

// A rate with its burst.
struct Rate
{
  MicroTokens mPerSecond = 0;
  MicroTokens mBurst = 0;

  bool operator==(const Rate&) const = default;
};

// A bucket that refills at a rate up to a burst. It starts empty: whoever had the share
// before may have spent all that it allowed.
class Bucket
{
public:
  // Changes the rate and burst. Tokens above the new burst are lost; a larger burst adds
  // none.
  void SetRate(Rate aRate, base::Instant aNow)
  {
    Refill(aNow);
    mRate = aRate;
    mLevel = std::min(mLevel, mRate.mBurst);
  }

  // Takes tokens if they are there.
  bool Take(MicroTokens aAmount, base::Instant aNow)
  {
    Refill(aNow);
    if (mLevel < aAmount) {
      return false;
    }
    mLevel -= aAmount;
    return true;
  }

  // Puts tokens back that were taken but not used. Those above the burst are lost.
  void Refund(MicroTokens aAmount, base::Instant aNow)
  {
    Refill(aNow);
    mLevel = std::min(mLevel + aAmount, mRate.mBurst);
  }

  // Time until the amount is there if nobody else takes any; Duration::max() if never.
  base::Duration TimeUntil(MicroTokens aAmount, base::Instant aNow)
  {
    Refill(aNow);
    if (mLevel >= aAmount) {
      return base::Duration::zero();
    }
    if (mRate.mPerSecond <= 0 || mRate.mBurst < aAmount) {
      return base::Duration::max();
    }
    MicroTokens missing = aAmount - mLevel;
    Wide wait = Wide(missing) * kMicrosecondsPerSecond / mRate.mPerSecond + 1;
    return base::Duration(static_cast<base::Duration::rep>(wait));
  }

  MicroTokens Level(base::Instant aNow)
  {
    Refill(aNow);
    return mLevel;
  }

  Rate CurrentRate() const { return mRate; }

private:
  static constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  // Products of a rate and a gap exceed 64 bits.
  __extension__ using Wide = __int128;

  // The remainder below one micro-token is carried over, so slow rates lose nothing.
  void Refill(base::Instant aNow)
  {
    if (aNow <= mRefilled) {
      return;
    }
    Wide product = Wide((aNow - mRefilled).count()) * mRate.mPerSecond + mRemainder;
    Wide level = mLevel + product / kMicrosecondsPerSecond;
    mLevel = static_cast<MicroTokens>(std::min(Wide(mRate.mBurst), level));
    mRemainder = static_cast<std::int64_t>(product % kMicrosecondsPerSecond);
    mRefilled = aNow;
  }

  Rate mRate;
  MicroTokens mLevel = 0;
  std::int64_t mRemainder = 0;
  base::Instant mRefilled{};
};

} // namespace vanillaloft::decide
