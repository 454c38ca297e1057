#include "decide/division.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

// Smaller shares of a pool go to the preferred holder.
constexpr MicroTokens kMinPoolShareBurst = 4 * kToken;
// At most a sixth of the burst is reserved for tokens in flight.
constexpr MicroTokens kTokenLifeBurstDivisor = 6;
constexpr MicroTokens kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kMicroTokensPerDemandUnit = kToken / kDemandUnitsPerToken;

// The holder that gets the rest of a pool after the shares of the others: the one with
// the largest demand. The holder of more than half of the pool is replaced only by one
// with more than twice its demand and a quarter of the pool's rate, because nobody holds
// the pool until the new holder renews, whose bucket is then empty.
const ShareRecord* PreferredHolder(const ShareDocument& aDocument,
                                   const std::string& aKey,
                                   Rate aPool)
{
  auto quarter =
    static_cast<std::uint64_t>(aPool.mPerSecond / 4) / kMicroTokensPerDemandUnit;
  std::uint64_t margin = std::max(kDemandUnitsPerToken, quarter);
  auto weight = [&](const ShareRecord& aRecord) {
    std::uint64_t demand = DemandOf(aRecord, aKey);
    bool holdsMost = PoolShareOf(aRecord, aKey) > kWholePool / 2;
    return holdsMost ? 2 * demand + margin : demand;
  };
  auto preferred = std::ranges::max_element(aDocument.mRecords, {}, weight);
  return preferred == aDocument.mRecords.end() ? nullptr : &*preferred;
}

} // namespace

Rate Fraction(Rate aWhole, std::int64_t aCount, std::int64_t aOf)
{
  return { aWhole.mPerSecond * aCount / aOf, aWhole.mBurst * aCount / aOf };
}

Rate Sum(Rate aLeft, Rate aRight)
{
  return { aLeft.mPerSecond + aRight.mPerSecond, aLeft.mBurst + aRight.mBurst };
}

Rate FloorOf(const Config& aConfig, Rate aUsable)
{
  auto centres = static_cast<std::int64_t>(aConfig.mDataCentres.size());
  Rate floor = Fraction(aUsable, aConfig.mFloorPercent, 100 * centres);
  return floor.mBurst < kToken ? Rate{} : floor;
}

Rate PoolOf(const Config& aConfig, Rate aUsable)
{
  auto centres = static_cast<std::int64_t>(aConfig.mDataCentres.size());
  Rate floors = FloorOf(aConfig, aUsable);
  return { aUsable.mPerSecond - floors.mPerSecond * centres,
           aUsable.mBurst - floors.mBurst * centres };
}

// Buckets refill by their holders' clocks, which may be fast, so the rate is reduced by
// the bound on drift. The bucket of a token in flight refills meanwhile, so the burst is
// reduced by the refill within the longest token life. Both together keep every window
// within the total.
UsableBudget UsableBudgetOf(Rate aTotal)
{
  Rate usable{ aTotal.mPerSecond * 1000 / (1000 + kDriftPerMille), aTotal.mBurst };
  if (usable.mPerSecond <= 0) {
    return { usable, kMaxTokenLife };
  }
  Duration reserved(usable.mBurst / kTokenLifeBurstDivisor * kMicrosecondsPerSecond /
                    usable.mPerSecond);
  Duration life = std::min(kMaxTokenLife, reserved);
  usable.mBurst -= usable.mPerSecond * life.count() / kMicrosecondsPerSecond;
  return { usable, life };
}

PerMille TargetPoolShare(const Config& aConfig,
                         const ShareDocument& aDocument,
                         const Incarnation& aHolder,
                         const std::string& aKey,
                         Rate aPool)
{
  const ShareRecord* preferred = PreferredHolder(aDocument, aKey, aPool);
  std::uint64_t sum = 0;
  for (const ShareRecord& record : aDocument.mRecords) {
    sum += DemandOf(record, aKey);
  }
  PerMille assigned = 0;
  PerMille own = 0;
  for (const ShareRecord& record : aDocument.mRecords) {
    std::uint64_t poolShare = sum == 0 ? kWholePool / aConfig.mDataCentres.size()
                                       : DemandOf(record, aKey) * kWholePool / sum;
    bool useful = aPool.mBurst * static_cast<MicroTokens>(poolShare) / kWholePool >=
                  kMinPoolShareBurst;
    poolShare = useful && &record != preferred ? poolShare : 0;
    assigned += static_cast<PerMille>(poolShare);
    own = record.mHolder == aHolder ? static_cast<PerMille>(poolShare) : own;
  }
  bool isPreferred = preferred && preferred->mHolder == aHolder;
  return isPreferred ? kWholePool - assigned : own;
}

} // namespace vanillaloft::decide
