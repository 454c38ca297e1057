// Token bucket that counts in integer micro-tokens, so that sums over holders are exact.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/types.h"

namespace vanillaloft::decide {

// Millionths of a token.
using MicroTokens = std::int64_t;
constexpr MicroTokens kToken = 1'000'000;

// A refill rate and the burst, which is the capacity of the bucket.
struct Rate
{
  MicroTokens mPerSecond = 0;
  MicroTokens mBurst = 0;

  bool operator==(const Rate&) const = default;
};

// A bucket that refills at a rate up to a burst. It starts empty, because the previous
// holder of the share may have spent the whole burst.
class Bucket
{
public:
  // Changes the rate and burst. Tokens above the new burst are lost; a larger burst adds
  // no tokens.
  void SetRate(Rate aRate, base::Instant aNow)
  {
    Refill(aNow);
    mRate = aRate;
    mLevel = std::min(mLevel, mRate.mBurst);
  }

  // Takes tokens. Returns false and takes none if there are not enough.
  bool Take(MicroTokens aAmount, base::Instant aNow)
  {
    Refill(aNow);
    if (mLevel < aAmount) {
      return false;
    }
    mLevel -= aAmount;
    return true;
  }

  // Returns tokens that were taken but not used. Tokens above the burst are lost.
  void Refund(MicroTokens aAmount, base::Instant aNow)
  {
    Refill(aNow);
    mLevel = std::min(mLevel + aAmount, mRate.mBurst);
  }

  // Time until the amount is available if no tokens are taken; Duration::max() if never.
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
    Int128 wait = Int128(missing) * kMicrosecondsPerSecond / mRate.mPerSecond + 1;
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
  // The product of a rate and an interval can exceed 64 bits.
  __extension__ using Int128 = __int128;

  // Carries over the remainder below one micro-token, so that slow rates lose no
  // fractions.
  void Refill(base::Instant aNow)
  {
    if (aNow <= mRefilled) {
      return;
    }
    Int128 product = Int128((aNow - mRefilled).count()) * mRate.mPerSecond + mRemainder;
    Int128 level = mLevel + product / kMicrosecondsPerSecond;
    mLevel = static_cast<MicroTokens>(std::min(Int128(mRate.mBurst), level));
    mRemainder = static_cast<std::int64_t>(product % kMicrosecondsPerSecond);
    mRefilled = aNow;
  }

  Rate mRate;
  MicroTokens mLevel = 0;
  std::int64_t mRemainder = 0;
  base::Instant mRefilled{};
};

} // namespace vanillaloft::decide
