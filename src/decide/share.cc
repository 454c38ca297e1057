#include "decide/share.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

constexpr double kDemandSmoothing = 0.5; // weight of the newest interval
constexpr Duration kDemandInterval = std::chrono::seconds(1);
// A quarter of a share's burst is kept from loans that need not be given.
constexpr MicroTokens kLendReserveDivisor = 4;
constexpr MicroTokens kMicrosecondsPerSecond = 1'000'000;

// Parts of a token are not lent ahead: they would lapse unused.
MicroTokens WholeTokens(MicroTokens aAmount)
{
  return aAmount / kToken * kToken;
}

// A holder that may be asked for tokens.
struct TokenSource
{
  MicroTokens mSpareRate; // tokens per second beyond its own demand
  std::string mAddress;
};

} // namespace

void ShareHolder::SetConfig(ConfigPtr aConfig, Instant aNow)
{
  std::map<std::string, std::size_t> before;
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    before[mKeys[i]] = i;
  }
  std::vector<Bucket> buckets;
  std::vector<double> demand;
  std::vector<MicroTokens> requested;
  mKeys.clear();
  for (const Budget& budget : aConfig->mBudgets) {
    mKeys.push_back(BudgetKey(budget));
    auto old = before.find(mKeys.back());
    bool known = old != before.end();
    buckets.push_back(known ? mBuckets[old->second] : Bucket());
    demand.push_back(known ? mDemand[old->second] : 0.0);
    requested.push_back(known ? mRequestedTokens[old->second] : 0);
  }
  mBuckets = std::move(buckets);
  mLoans.assign(mKeys.size(), {});
  mDemand = std::move(demand);
  mRequestedTokens = std::move(requested);
  mConfig = std::move(aConfig);
  UpdateBucketRates(aNow);
}

// The store lost writes if the document's write count decreased, or if the own record is
// missing or has a lower sequence during its lease: no other instance may change it then.
bool ShareHolder::IsOlder(const ShareDocument& aDocument, Instant aNow) const
{
  const ShareRecord* own = aDocument.Find(mSelf);
  bool ownWentBack =
    mRecord && HoldsPool(aNow) && (!own || own->mSequence < mRecord->mSequence);
  return aDocument.mWrites < mDocument.mWrites || ownWentBack;
}

// Keeps the newer version of each record, so that shares that others hold do not seem to
// be free.
ShareDocument ShareHolder::Repaired(ShareDocument aDocument) const
{
  std::vector<ShareRecord> known = mDocument.mRecords;
  if (mRecord) {
    known.push_back(*mRecord);
  }
  for (const ShareRecord& record : known) {
    auto existing =
      std::ranges::find(aDocument.mRecords, record.mHolder, &ShareRecord::mHolder);
    if (existing == aDocument.mRecords.end()) {
      aDocument.mRecords.push_back(record);
    } else if (existing->mSequence < record.mSequence) {
      *existing = record;
    }
  }
  aDocument.mWrites = std::max(aDocument.mWrites, mDocument.mWrites);
  return aDocument;
}

// Restarts the time since a record's last renewal whenever its sequence changes.
void ShareHolder::UpdateObservations(Instant aNow)
{
  std::map<Incarnation, Observation> observations;
  for (const ShareRecord& record : mDocument.mRecords) {
    auto known = mObservations.find(record.mHolder);
    bool renewed =
      known == mObservations.end() || known->second.mSequence != record.mSequence;
    observations[record.mHolder] =
      renewed ? Observation{ record.mSequence, aNow } : known->second;
  }
  mObservations = std::move(observations);
}

// After an older state, and as a new holder, this instance gains nothing from the pool
// until every lease that others may have gained unobserved has expired.
void ShareHolder::Observe(const ShareDocument& aDocument, Instant aNow)
{
  ApplyExpiry(aNow);
  bool older = mHasDocument && IsOlder(aDocument, aNow);
  bool newHolder = !mHasDocument && !aDocument.mRecords.empty();
  mDocument = older ? Repaired(aDocument) : aDocument;
  if (older || newHolder) {
    mNoIncreaseUntil = aNow + ReclaimDelay(kPoolLease);
  }
  UpdateObservations(aNow);
  const ShareRecord* own = mDocument.Find(mSelf);
  if (mRecord && !own) {
    mRecord.reset();
  } else if (mRecord && own->mSequence != mRecord->mSequence) {
    LowerShare(*own);
  }
  auto unconfirmed =
    own ? mUnconfirmedWrites.find(own->mSequence) : mUnconfirmedWrites.end();
  if (unconfirmed != mUnconfirmedWrites.end()) {
    mRecord = *own;
    mPoolUntil = unconfirmed->second + HolderLease(kPoolLease);
    mFloorUntil = unconfirmed->second + HolderLease(kFloorLease);
    mUnconfirmedWrites.clear();
  }
  if (!mHasDocument) {
    mHasDocument = true;
    mFirstReadAt = aNow;
  }
  UpdateBucketRates(aNow);
}

// Limits the record in use to another version of it, from a write that may have taken
// shares away.
void ShareHolder::LowerShare(const ShareRecord& aTo)
{
  mRecord->mFloor = mRecord->mFloor && aTo.mFloor;
  for (auto& [key, poolShare] : mRecord->mPool) {
    poolShare = std::min(poolShare, PoolShareOf(aTo, key));
  }
}

bool ShareHolder::LeaseExpired(const ShareRecord& aRecord,
                               Duration aLease,
                               Instant aNow) const
{
  auto observation = mObservations.find(aRecord.mHolder);
  return observation != mObservations.end() &&
         aNow - observation->second.mSince >= ReclaimDelay(aLease);
}

bool ShareHolder::OtherHolderAlive(Instant aNow) const
{
  return std::ranges::any_of(mDocument.mRecords, [&](const ShareRecord& aRecord) {
    bool predecessor = aRecord.mHolder.mAddress == mSelf.mAddress;
    return aRecord.mDataCentre == mDataCentre && !predecessor &&
           !LeaseExpired(aRecord, kPoolLease, aNow);
  });
}

// A record of a predecessor at the same address proves that the document is not an older
// one in which the floor only seems to be free, so this instance need not wait.
bool ShareHolder::MayBecomeHolder(Instant aNow) const
{
  bool predecessor =
    std::ranges::any_of(mDocument.mRecords, [&](const ShareRecord& aRecord) {
      return aRecord.mHolder.mAddress == mSelf.mAddress;
    });
  return predecessor || aNow - mFirstReadAt >= mNewHolderWait;
}

// A predecessor at the same address has certainly ended, because this process could bind
// its address.
void ShareHolder::DropExpired(ShareDocument& aDocument, Instant aNow)
{
  std::erase_if(aDocument.mRecords, [&](ShareRecord& aRecord) {
    if (aRecord.mHolder == mSelf) {
      return false;
    }
    bool predecessor = aRecord.mHolder.mAddress == mSelf.mAddress;
    if (predecessor || LeaseExpired(aRecord, kPoolLease, aNow)) {
      mReclaimed += aRecord.mPool.empty() ? 0 : 1;
      aRecord.mPool.clear();
      aRecord.mDemand.clear();
    }
    bool floorGone = predecessor || LeaseExpired(aRecord, kFloorLease, aNow);
    aRecord.mFloor = aRecord.mFloor && !floorGone;
    return aRecord.mPool.empty() && !aRecord.mFloor;
  });
}

bool ShareHolder::FloorIsFree(const ShareDocument& aDocument) const
{
  return std::ranges::none_of(aDocument.mRecords, [&](const ShareRecord& aRecord) {
    return aRecord.mDataCentre == mDataCentre && aRecord.mFloor &&
           aRecord.mHolder != mSelf;
  });
}

std::map<std::string, std::uint64_t> ShareHolder::MeasuredDemand(Instant aNow)
{
  Duration interval = aNow - mDemandSince;
  if (interval >= kDemandInterval) {
    double seconds = std::chrono::duration<double>(interval).count();
    for (std::size_t i = 0; i < mRequestedTokens.size(); ++i) {
      double perSecond = double(mRequestedTokens[i]) / double(kToken) / seconds;
      mDemand[i] += kDemandSmoothing * (perSecond - mDemand[i]);
      mRequestedTokens[i] = 0;
    }
    mDemandSince = aNow;
  }
  std::map<std::string, std::uint64_t> demand;
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    auto hundredths =
      static_cast<std::uint64_t>(mDemand[i] * double(kDemandUnitsPerToken));
    if (hundredths > 0) {
      demand[mKeys[i]] = hundredths;
    }
  }
  return demand;
}

std::optional<ShareDocument> ShareHolder::PlanWrite(Instant aNow)
{
  mPlanned.reset();
  if (!mConfig || !mHasDocument || mReleased) {
    return std::nullopt;
  }
  if (!mRecord && (OtherHolderAlive(aNow) || !MayBecomeHolder(aNow))) {
    return std::nullopt;
  }
  ApplyExpiry(aNow);
  ShareDocument next = mDocument;
  ++next.mWrites;
  DropExpired(next, aNow);
  ShareRecord own;
  if (const ShareRecord* written = next.Find(mSelf)) {
    own = *written;
  }
  own.mDataCentre = mDataCentre;
  own.mHolder = mSelf;
  own.mSequence = ++mNextSequence;
  own.mDemand = MeasuredDemand(aNow);
  own.mFloor = own.mFloor || FloorIsFree(next);
  std::erase_if(next.mRecords,
                [&](const ShareRecord& aRecord) { return aRecord.mHolder == mSelf; });
  next.mRecords.push_back(own);
  ShareRecord& mine = next.mRecords.back();
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    PerMille held = PoolShareOf(mine, mKeys[i]);
    PerMille used = next.PoolInUse(mKeys[i]);
    PerMille free = used < kWholePool && MayIncrease(aNow) ? kWholePool - used : 0;
    Rate pool = PoolOf(*mConfig, UsableBudgetOf(mConfig->mBudgets[i].mTotal).mRate);
    PerMille poolShare =
      std::min(TargetPoolShare(*mConfig, next, mSelf, mKeys[i], pool), held + free);
    mine.mPool[mKeys[i]] = poolShare;
  }
  if (mRecord) {
    LowerShare(mine);
    UpdateBucketRates(aNow);
  }
  mPlanned = next;
  mPlannedAt = aNow;
  return next;
}

void ShareHolder::WriteCommitted(Instant aNow)
{
  if (!mPlanned) {
    return;
  }
  ApplyExpiry(aNow);
  mRecord = *mPlanned->Find(mSelf);
  mPoolUntil = mPlannedAt + HolderLease(kPoolLease);
  mFloorUntil = mPlannedAt + HolderLease(kFloorLease);
  for (const ShareRecord& record : mPlanned->mRecords) {
    Observation& observation = mObservations[record.mHolder];
    if (observation.mSequence != record.mSequence) {
      observation = { record.mSequence, aNow };
    }
  }
  mDocument = std::move(*mPlanned);
  mPlanned.reset();
  mUnconfirmedWrites.clear();
  UpdateBucketRates(aNow);
}

void ShareHolder::WriteConflicted()
{
  mPlanned.reset();
}

void ShareHolder::WriteOutcomeUnknown()
{
  if (mPlanned) {
    mUnconfirmedWrites[mPlanned->Find(mSelf)->mSequence] = mPlannedAt;
  }
  mPlanned.reset();
}

std::optional<ShareDocument> ShareHolder::ReleaseShares(Instant aNow)
{
  mReleased = true;
  mRecord.reset();
  UpdateBucketRates(aNow);
  if (!mDocument.Find(mSelf)) {
    return std::nullopt;
  }
  ShareDocument next = mDocument;
  ++next.mWrites;
  std::erase_if(next.mRecords,
                [&](const ShareRecord& aRecord) { return aRecord.mHolder == mSelf; });
  return next;
}

Rate ShareHolder::ShareOf(BudgetId aBudget, Instant aNow) const
{
  if (!mRecord || !mConfig) {
    return {};
  }
  Rate usable = UsableBudgetOf(mConfig->mBudgets[aBudget.Value()].mTotal).mRate;
  Rate share;
  if (HoldsFloor(aNow)) {
    share = FloorOf(*mConfig, usable);
  }
  if (HoldsPool(aNow)) {
    PerMille poolShare = PoolShareOf(*mRecord, mKeys[aBudget.Value()]);
    share = Sum(share, Fraction(PoolOf(*mConfig, usable), poolShare, kWholePool));
  }
  return share;
}

// Applies the expiry of leases as of the time at which they expired: a bucket must not
// refill at a rate that was no longer held, however late this is called.
void ShareHolder::ApplyExpiry(Instant aNow)
{
  if (mPoolWasHeld && !HoldsPool(aNow)) {
    UpdateBucketRates(mRecord ? mPoolUntil : aNow);
  }
  if (mFloorWasHeld && !HoldsFloor(aNow)) {
    UpdateBucketRates(mRecord && mRecord->mFloor ? mFloorUntil : aNow);
  }
}

void ShareHolder::UpdateBucketRates(Instant aNow)
{
  mPoolWasHeld = HoldsPool(aNow);
  mFloorWasHeld = HoldsFloor(aNow);
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    mBuckets[i].SetRate(ShareOf(BudgetId(i), aNow), aNow);
  }
}

// Leases are checked at every debit, so that a process that was suspended beyond its
// lease uses nothing.
bool ShareHolder::Debit(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (!mConfig) {
    return false;
  }
  ApplyExpiry(aNow);
  Bucket& bucket = mBuckets[aBudget.Value()];
  Loans& loans = mLoans[aBudget.Value()];
  if (loans.Level(aNow) + bucket.Level(aNow) < aAmount) {
    return false;
  }
  MicroTokens borrowed = loans.Take(aAmount);
  return bucket.Take(aAmount - borrowed, aNow);
}

MicroTokens ShareHolder::Lend(BudgetId aBudget,
                              MicroTokens aLeast,
                              MicroTokens aMost,
                              Instant aNow)
{
  if (!mConfig) {
    return 0;
  }
  ApplyExpiry(aNow);
  Bucket& bucket = mBuckets[aBudget.Value()];
  MicroTokens reserve = bucket.CurrentRate().mBurst / kLendReserveDivisor;
  MicroTokens spare = bucket.Level(aNow) - reserve;
  MicroTokens extra = std::clamp(spare, aLeast, std::max(aLeast, aMost)) - aLeast;
  MicroTokens amount = aLeast + WholeTokens(extra);
  return bucket.Take(amount, aNow) ? amount : 0;
}

void ShareHolder::AddLoan(BudgetId aBudget,
                          MicroTokens aAmount,
                          Instant aUntil,
                          Instant aNow)
{
  mLoans[aBudget.Value()].Add(aAmount, aUntil, aNow);
}

MicroTokens ShareHolder::Shortfall(BudgetId aBudget, Duration aTime, Instant aNow) const
{
  if (!mRecord) {
    return 0;
  }
  auto demand = static_cast<MicroTokens>(mDemand[aBudget.Value()] * double(kToken));
  MicroTokens rate = demand - ShareOf(aBudget, aNow).mPerSecond;
  return rate <= 0 ? 0 : WholeTokens(rate * aTime.count() / kMicrosecondsPerSecond);
}

void ShareHolder::Refund(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (mConfig) {
    ApplyExpiry(aNow);
    mBuckets[aBudget.Value()].Refund(aAmount, aNow);
  }
}

Duration ShareHolder::TimeUntil(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  ApplyExpiry(aNow);
  return mConfig ? mBuckets[aBudget.Value()].TimeUntil(aAmount, aNow) : Duration::max();
}

void ShareHolder::CountDemand(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (mDemandSince == Instant()) {
    mDemandSince = aNow;
  }
  mRequestedTokens[aBudget.Value()] += aAmount;
}

Rate ShareHolder::HeldBy(const ShareRecord& aRecord, BudgetId aBudget) const
{
  Rate usable = UsableBudgetOf(mConfig->mBudgets[aBudget.Value()].mTotal).mRate;
  Rate floor = aRecord.mFloor ? FloorOf(*mConfig, usable) : Rate{};
  PerMille pool = PoolShareOf(aRecord, mKeys[aBudget.Value()]);
  return Sum(floor, Fraction(PoolOf(*mConfig, usable), pool, kWholePool));
}

MicroTokens ShareHolder::SpareRateOf(const ShareRecord& aRecord, BudgetId aBudget) const
{
  std::uint64_t hundredths = DemandOf(aRecord, mKeys[aBudget.Value()]);
  auto demand = static_cast<MicroTokens>(hundredths * (kToken / kDemandUnitsPerToken));
  return HeldBy(aRecord, aBudget).mPerSecond - demand;
}

bool ShareHolder::OthersMaySpare(BudgetId aBudget,
                                 const std::vector<std::string>& aExcept) const
{
  return std::ranges::any_of(mDocument.mRecords, [&](const ShareRecord& aRecord) {
    const std::string& address = aRecord.mHolder.mAddress;
    bool considered =
      aRecord.mHolder != mSelf && std::ranges::find(aExcept, address) == aExcept.end();
    return considered && SpareRateOf(aRecord, aBudget) > 0;
  });
}

// Holders with a share above their own demand are likely to have tokens left. Each call
// starts with the next of these, so that not all requesters empty the same bucket.
std::vector<std::string> ShareHolder::TokenSources(BudgetId aBudget)
{
  std::vector<TokenSource> sources;
  std::vector<std::string> addresses;
  for (const ShareRecord& record : mDocument.mRecords) {
    if (record.mHolder == mSelf) {
      continue;
    }
    if (record.mDataCentre == mDataCentre) {
      addresses.push_back(record.mHolder.mAddress); // also counts the demand
      continue;
    }
    if (HeldBy(record, aBudget).mBurst < kToken) {
      continue;
    }
    sources.push_back({ SpareRateOf(record, aBudget), record.mHolder.mAddress });
  }
  std::ranges::sort(sources, std::ranges::greater(), &TokenSource::mSpareRate);
  auto spare = static_cast<std::size_t>(std::ranges::count_if(
    sources, [](const TokenSource& aSource) { return aSource.mSpareRate > 0; }));
  if (spare > 1) {
    auto first = static_cast<std::ptrdiff_t>(mRotation++ % spare);
    std::rotate(sources.begin(),
                sources.begin() + first,
                sources.begin() + static_cast<std::ptrdiff_t>(spare));
  }
  for (const TokenSource& source : sources) {
    addresses.push_back(source.mAddress);
  }
  return addresses;
}

} // namespace vanillaloft::decide
