#include "decide/share.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace vanillaloft::decide {

namespace {

using nlohmann::json;

constexpr double kDemandSmoothing = 0.5; // weight of the newest interval
constexpr MicroTokens kHundredths = 100; // demand is recorded in hundredths of a token
constexpr MicroTokens kLeastBurst = 4 * kToken; // of a part of a pool
constexpr Duration kDemandInterval = std::chrono::seconds(1);
// A quarter of the burst at most is set aside for tokens in flight.
constexpr MicroTokens kLifeShareOfBurst = 4;

Rate Part(Rate aWhole, std::int64_t aCount, std::int64_t aOf)
{
  return { aWhole.mPerSecond * aCount / aOf, aWhole.mBurst * aCount / aOf };
}

Rate Sum(Rate aLeft, Rate aRight)
{
  return { aLeft.mPerSecond + aRight.mPerSecond, aLeft.mBurst + aRight.mBurst };
}

// The floor of one data centre. A floor below one token would admit nothing, so small
// budgets go to the pool whole.
Rate FloorOf(const Config& aConfig, Rate aDivisible)
{
  auto centres = static_cast<std::int64_t>(aConfig.mDataCentres.size());
  Rate floor = Part(aDivisible, aConfig.mFloorPercent, 100 * centres);
  return floor.mBurst < kToken ? Rate{} : floor;
}

Rate PoolOf(const Config& aConfig, Rate aDivisible)
{
  auto centres = static_cast<std::int64_t>(aConfig.mDataCentres.size());
  Rate floors = FloorOf(aConfig, aDivisible);
  return { aDivisible.mPerSecond - floors.mPerSecond * centres,
           aDivisible.mBurst - floors.mBurst * centres };
}

// A holder that may be asked for tokens.
struct Giver
{
  MicroTokens mSpare; // a second, beyond its own demand
  std::string mAddress;
};

std::uint64_t ValueOr0(const std::map<std::string, std::uint64_t>& aMap,
                       const std::string& aKey)
{
  auto found = aMap.find(aKey);
  return found == aMap.end() ? 0 : found->second;
}

PerMille PoolOfRecord(const ShareRecord& aRecord, const std::string& aKey)
{
  auto found = aRecord.mPool.find(aKey);
  return found == aRecord.mPool.end() ? 0 : found->second;
}

} // namespace

// Buckets refill by their holders' clocks, which may be fast, so the rate is reduced by
// the bound on drift. While a token is under way its bucket refills, so the burst is
// reduced by what refills within the longest life. Both together keep every window within
// the total.
Divisible Divide(Rate aTotal)
{
  Rate usable{ aTotal.mPerSecond * 1000 / (1000 + kDriftPerMille), aTotal.mBurst };
  if (usable.mPerSecond <= 0) {
    return { usable, kLongestTokenLife };
  }
  Duration quarter(usable.mBurst / kLifeShareOfBurst * 1'000'000 / usable.mPerSecond);
  Duration life = std::min(kLongestTokenLife, quarter);
  usable.mBurst -= usable.mPerSecond * life.count() / 1'000'000;
  return { usable, life };
}

std::string BudgetKey(const Budget& aBudget)
{
  constexpr std::array<const char*, 3> kKinds = { "organisation:", "link:", "spill:" };
  return kKinds.at(static_cast<std::size_t>(aBudget.mKind)) + aBudget.mName;
}

const ShareRecord* ShareDocument::Find(const Incarnation& aHolder) const
{
  auto found = std::ranges::find(mRecords, aHolder, &ShareRecord::mHolder);
  return found == mRecords.end() ? nullptr : &*found;
}

PerMille ShareDocument::PoolInUse(const std::string& aBudget) const
{
  PerMille sum = 0;
  for (const ShareRecord& record : mRecords) {
    sum += PoolOfRecord(record, aBudget);
  }
  return sum;
}

ShareDocument ShareDocument::Parse(std::string_view aText)
{
  ShareDocument document;
  json value = json::parse(aText);
  document.mWrites = value.at("writes").get<std::uint64_t>();
  for (const json& entry : value.at("records")) {
    ShareRecord record;
    record.mDataCentre = entry.at("data_centre").get<std::string>();
    record.mHolder.mAddress = entry.at("address").get<std::string>();
    record.mHolder.mStartId = entry.at("start").get<std::uint64_t>();
    record.mSequence = entry.at("sequence").get<std::uint64_t>();
    record.mFloor = entry.at("floor").get<bool>();
    record.mPool = entry.at("pool").get<std::map<std::string, PerMille>>();
    record.mDemand = entry.at("demand").get<std::map<std::string, std::uint64_t>>();
    document.mRecords.push_back(std::move(record));
  }
  return document;
}

std::string ShareDocument::Text() const
{
  json records = json::array();
  for (const ShareRecord& record : mRecords) {
    records.push_back({ { "data_centre", record.mDataCentre },
                        { "address", record.mHolder.mAddress },
                        { "start", record.mHolder.mStartId },
                        { "sequence", record.mSequence },
                        { "floor", record.mFloor },
                        { "pool", record.mPool },
                        { "demand", record.mDemand } });
  }
  return json{ { "writes", mWrites }, { "records", records } }.dump();
}

void ShareHolder::SetConfig(ConfigPtr aConfig, Instant aNow)
{
  std::map<std::string, std::size_t> before;
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    before[mKeys[i]] = i;
  }
  std::vector<Bucket> buckets;
  std::vector<double> demand;
  std::vector<MicroTokens> asked;
  mKeys.clear();
  for (const Budget& budget : aConfig->mBudgets) {
    mKeys.push_back(BudgetKey(budget));
    auto old = before.find(mKeys.back());
    bool known = old != before.end();
    buckets.push_back(known ? mBuckets[old->second] : Bucket());
    demand.push_back(known ? mDemand[old->second] : 0.0);
    asked.push_back(known ? mAsked[old->second] : 0);
  }
  mBuckets = std::move(buckets);
  mDemand = std::move(demand);
  mAsked = std::move(asked);
  mConfig = std::move(aConfig);
  Refresh(aNow);
}

// The store came back with older state if the document went back, or if the own record
// did while its term still runs: nobody else may have touched it then.
bool ShareHolder::IsOlder(const ShareDocument& aDocument, Instant aNow) const
{
  const ShareRecord* own = aDocument.Find(mSelf);
  bool ownWentBack =
    mRecord && HoldsPool(aNow) && (!own || own->mSequence < mRecord->mSequence);
  return aDocument.mWrites < mDocument.mWrites || ownWentBack;
}

// Of each record the newer one counts, so what others hold is not taken for free.
ShareDocument ShareHolder::Repaired(ShareDocument aDocument) const
{
  std::vector<ShareRecord> known = mDocument.mRecords;
  if (mRecord) {
    known.push_back(*mRecord);
  }
  for (const ShareRecord& record : known) {
    auto there =
      std::ranges::find(aDocument.mRecords, record.mHolder, &ShareRecord::mHolder);
    if (there == aDocument.mRecords.end()) {
      aDocument.mRecords.push_back(record);
    } else if (there->mSequence < record.mSequence) {
      *there = record;
    }
  }
  aDocument.mWrites = std::max(aDocument.mWrites, mDocument.mWrites);
  return aDocument;
}

// A record is seen anew whenever its sequence rises.
void ShareHolder::Look(Instant aNow)
{
  std::map<Incarnation, Sight> sights;
  for (const ShareRecord& record : mDocument.mRecords) {
    auto known = mSights.find(record.mHolder);
    bool fresh = known == mSights.end() || known->second.mSequence != record.mSequence;
    sights[record.mHolder] = fresh ? Sight{ record.mSequence, aNow } : known->second;
  }
  mSights = std::move(sights);
}

// After an older state, and as a newcomer, nothing is gained from the pool until all that
// others may have gained unseen has lapsed.
void ShareHolder::Observe(const ShareDocument& aDocument, Instant aNow)
{
  Settle(aNow);
  bool older = mSeen && IsOlder(aDocument, aNow);
  bool newcomer = !mSeen && !aDocument.mRecords.empty();
  mDocument = older ? Repaired(aDocument) : aDocument;
  if (older || newcomer) {
    mNoIncreaseUntil = aNow + ReclaimTerm(kPoolTerm);
  }
  Look(aNow);
  const ShareRecord* own = mDocument.Find(mSelf);
  if (mRecord && !own) {
    mRecord.reset();
  } else if (mRecord && own->mSequence != mRecord->mSequence) {
    Reduce(*own);
  }
  auto unread = own ? mUnread.find(own->mSequence) : mUnread.end();
  if (unread != mUnread.end()) {
    mRecord = *own;
    mPoolUntil = unread->second + HolderTerm(kPoolTerm);
    mFloorUntil = unread->second + HolderTerm(kFloorHold);
    mUnread.clear();
  }
  if (!mSeen) {
    mSeen = true;
    mSeenSince = aNow;
  }
  Refresh(aNow);
}

// What another write may have taken away is no longer used.
void ShareHolder::Reduce(const ShareRecord& aTo)
{
  mRecord->mFloor = mRecord->mFloor && aTo.mFloor;
  for (auto& [key, part] : mRecord->mPool) {
    part = std::min(part, PoolOfRecord(aTo, key));
  }
}

bool ShareHolder::Lapsed(const ShareRecord& aRecord, Duration aTerm, Instant aNow) const
{
  auto sight = mSights.find(aRecord.mHolder);
  return sight != mSights.end() && aNow - sight->second.mSince >= ReclaimTerm(aTerm);
}

bool ShareHolder::OtherHolderAlive(Instant aNow) const
{
  return std::ranges::any_of(mDocument.mRecords, [&](const ShareRecord& aRecord) {
    bool predecessor = aRecord.mHolder.mAddress == mSelf.mAddress;
    return aRecord.mDataCentre == mDataCentre && !predecessor &&
           !Lapsed(aRecord, kPoolTerm, aNow);
  });
}

// A predecessor's record proves that the document is not an older one in which the floor
// only seems to be free.
bool ShareHolder::MayStart(Instant aNow) const
{
  bool predecessor =
    std::ranges::any_of(mDocument.mRecords, [&](const ShareRecord& aRecord) {
      return aRecord.mHolder.mAddress == mSelf.mAddress;
    });
  return predecessor || aNow - mSeenSince >= mNewcomerWait;
}

// An own predecessor is gone for certain: this process could bind its address.
void ShareHolder::DropLapsed(ShareDocument& aDocument, Instant aNow)
{
  std::erase_if(aDocument.mRecords, [&](ShareRecord& aRecord) {
    if (aRecord.mHolder == mSelf) {
      return false;
    }
    bool predecessor = aRecord.mHolder.mAddress == mSelf.mAddress;
    if (predecessor || Lapsed(aRecord, kPoolTerm, aNow)) {
      mReclaimed += aRecord.mPool.empty() ? 0 : 1;
      aRecord.mPool.clear();
      aRecord.mDemand.clear();
    }
    bool floorGone = predecessor || Lapsed(aRecord, kFloorHold, aNow);
    aRecord.mFloor = aRecord.mFloor && !floorGone;
    return aRecord.mPool.empty() && !aRecord.mFloor;
  });
}

bool ShareHolder::FloorFree(const ShareDocument& aDocument) const
{
  return std::ranges::none_of(aDocument.mRecords, [&](const ShareRecord& aRecord) {
    return aRecord.mDataCentre == mDataCentre && aRecord.mFloor &&
           aRecord.mHolder != mSelf;
  });
}

// The data centre that holds what the others are not due: the one with the largest
// demand, but a holder is replaced only by one with clearly more, because a bucket in a
// new hand is empty.
const ShareRecord* ShareHolder::TopOf(const ShareDocument& aDocument,
                                      const std::string& aKey) const
{
  auto weight = [&](const ShareRecord& aRecord) {
    std::uint64_t demand = ValueOr0(aRecord.mDemand, aKey);
    bool holdsMost = PoolOfRecord(aRecord, aKey) > kWhole / 2;
    return holdsMost ? 2 * demand + 1 : demand;
  };
  auto top = std::ranges::max_element(aDocument.mRecords, {}, weight);
  return top == aDocument.mRecords.end() ? nullptr : &*top;
}

// The part of the pool that this data centre is due by its demand. A part with few tokens
// of burst serves badly, so a small pool stays whole at the data centre with the largest
// demand.
PerMille ShareHolder::Want(const ShareDocument& aDocument,
                           const std::string& aKey,
                           Rate aPool) const
{
  const ShareRecord* top = TopOf(aDocument, aKey);
  std::uint64_t sum = 0;
  for (const ShareRecord& record : aDocument.mRecords) {
    sum += ValueOr0(record.mDemand, aKey);
  }
  PerMille given = 0;
  PerMille own = 0;
  for (const ShareRecord& record : aDocument.mRecords) {
    std::uint64_t part = sum == 0 ? kWhole / mConfig->mDataCentres.size()
                                  : ValueOr0(record.mDemand, aKey) * kWhole / sum;
    bool useful = aPool.mBurst * static_cast<MicroTokens>(part) / kWhole >= kLeastBurst;
    part = useful && &record != top ? part : 0;
    given += static_cast<PerMille>(part);
    own = record.mHolder == mSelf ? static_cast<PerMille>(part) : own;
  }
  bool isTop = top && top->mHolder == mSelf;
  return isTop ? kWhole - given : own;
}

std::map<std::string, std::uint64_t> ShareHolder::MeasuredDemand(Instant aNow)
{
  Duration interval = aNow - mDemandSince;
  if (interval >= kDemandInterval) {
    double seconds = std::chrono::duration<double>(interval).count();
    for (std::size_t i = 0; i < mAsked.size(); ++i) {
      double perSecond = double(mAsked[i]) / double(kToken) / seconds;
      mDemand[i] += kDemandSmoothing * (perSecond - mDemand[i]);
      mAsked[i] = 0;
    }
    mDemandSince = aNow;
  }
  std::map<std::string, std::uint64_t> demand;
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    auto hundredths = static_cast<std::uint64_t>(mDemand[i] * kHundredths);
    if (hundredths > 0) {
      demand[mKeys[i]] = hundredths;
    }
  }
  return demand;
}

std::optional<ShareDocument> ShareHolder::Plan(Instant aNow)
{
  mPlanned.reset();
  if (!mConfig || !mSeen || mLeft) {
    return std::nullopt;
  }
  if (!mRecord && (OtherHolderAlive(aNow) || !MayStart(aNow))) {
    return std::nullopt;
  }
  Settle(aNow);
  ShareDocument next = mDocument;
  ++next.mWrites;
  DropLapsed(next, aNow);
  ShareRecord own;
  if (const ShareRecord* written = next.Find(mSelf)) {
    own = *written;
  }
  own.mDataCentre = mDataCentre;
  own.mHolder = mSelf;
  own.mSequence = ++mNextSequence;
  own.mDemand = MeasuredDemand(aNow);
  own.mFloor = own.mFloor || FloorFree(next);
  std::erase_if(next.mRecords,
                [&](const ShareRecord& aRecord) { return aRecord.mHolder == mSelf; });
  next.mRecords.push_back(own);
  ShareRecord& mine = next.mRecords.back();
  for (std::size_t i = 0; i < mKeys.size(); ++i) {
    PerMille held = PoolOfRecord(mine, mKeys[i]);
    PerMille used = next.PoolInUse(mKeys[i]);
    PerMille free = used < kWhole && MayIncrease(aNow) ? kWhole - used : 0;
    Rate pool = PoolOf(*mConfig, Divide(mConfig->mBudgets[i].mTotal).mRate);
    PerMille part = std::min(Want(next, mKeys[i], pool), held + free);
    mine.mPool[mKeys[i]] = part;
  }
  if (mRecord) {
    Reduce(mine);
    Refresh(aNow);
  }
  mPlanned = next;
  mPlannedAt = aNow;
  return next;
}

void ShareHolder::Committed(Instant aNow)
{
  if (!mPlanned) {
    return;
  }
  Settle(aNow);
  mRecord = *mPlanned->Find(mSelf);
  mPoolUntil = mPlannedAt + HolderTerm(kPoolTerm);
  mFloorUntil = mPlannedAt + HolderTerm(kFloorHold);
  for (const ShareRecord& record : mPlanned->mRecords) {
    Sight& sight = mSights[record.mHolder];
    if (sight.mSequence != record.mSequence) {
      sight = { record.mSequence, aNow };
    }
  }
  mDocument = std::move(*mPlanned);
  mPlanned.reset();
  mUnread.clear();
  Refresh(aNow);
}

void ShareHolder::Conflicted()
{
  mPlanned.reset();
}

void ShareHolder::Unknown()
{
  if (mPlanned) {
    mUnread[mPlanned->Find(mSelf)->mSequence] = mPlannedAt;
  }
  mPlanned.reset();
}

std::optional<ShareDocument> ShareHolder::Leave(Instant aNow)
{
  mLeft = true;
  mRecord.reset();
  Refresh(aNow);
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
  Rate divisible = Divide(mConfig->mBudgets[aBudget.Value()].mTotal).mRate;
  Rate share;
  if (HoldsFloor(aNow)) {
    share = FloorOf(*mConfig, divisible);
  }
  if (HoldsPool(aNow)) {
    PerMille part = PoolOfRecord(*mRecord, mKeys[aBudget.Value()]);
    share = Sum(share, Part(PoolOf(*mConfig, divisible), part, kWhole));
  }
  return share;
}

// Applies lapses at the times at which they happened: a bucket must not refill at a rate
// that was no longer held, however late the lapse is noticed.
void ShareHolder::Settle(Instant aNow)
{
  if (mPoolWasHeld && !HoldsPool(aNow)) {
    Refresh(mRecord ? mPoolUntil : aNow);
  }
  if (mFloorWasHeld && !HoldsFloor(aNow)) {
    Refresh(mRecord && mRecord->mFloor ? mFloorUntil : aNow);
  }
}

void ShareHolder::Refresh(Instant aNow)
{
  mPoolWasHeld = HoldsPool(aNow);
  mFloorWasHeld = HoldsFloor(aNow);
  for (std::size_t i = 0; i < mBuckets.size(); ++i) {
    mBuckets[i].SetRate(ShareOf(BudgetId(i), aNow), aNow);
  }
}

// The terms are checked at every spend, so that a process that was paused past its term
// stops by itself.
bool ShareHolder::Spend(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (!mConfig) {
    return false;
  }
  Settle(aNow);
  return mBuckets[aBudget.Value()].Take(aAmount, aNow);
}

void ShareHolder::Return(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (mConfig) {
    Settle(aNow);
    mBuckets[aBudget.Value()].Put(aAmount, aNow);
  }
}

Duration ShareHolder::TimeUntil(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  Settle(aNow);
  return mConfig ? mBuckets[aBudget.Value()].TimeUntil(aAmount, aNow) : Duration::max();
}

void ShareHolder::CountDemand(BudgetId aBudget, MicroTokens aAmount, Instant aNow)
{
  if (mDemandSince == Instant()) {
    mDemandSince = aNow;
  }
  mAsked[aBudget.Value()] += aAmount;
}

// Whoever holds more than its own callers ask for is likely to have tokens left. Among
// those the turn moves on at each call, so that not all askers empty the same bucket.
std::vector<std::string> ShareHolder::Givers(BudgetId aBudget)
{
  const std::string& key = mKeys[aBudget.Value()];
  Rate divisible = Divide(mConfig->mBudgets[aBudget.Value()].mTotal).mRate;
  std::vector<Giver> givers;
  std::vector<std::string> addresses;
  for (const ShareRecord& record : mDocument.mRecords) {
    Rate floor = record.mFloor ? FloorOf(*mConfig, divisible) : Rate{};
    Rate held =
      Sum(floor, Part(PoolOf(*mConfig, divisible), PoolOfRecord(record, key), kWhole));
    if (record.mHolder == mSelf) {
      continue;
    }
    if (record.mDataCentre == mDataCentre) {
      addresses.push_back(record.mHolder.mAddress); // counts the demand, too
      continue;
    }
    if (held.mBurst < kToken) {
      continue;
    }
    auto demand =
      static_cast<MicroTokens>(ValueOr0(record.mDemand, key)) * kToken / kHundredths;
    givers.push_back({ held.mPerSecond - demand, record.mHolder.mAddress });
  }
  std::ranges::sort(givers, std::ranges::greater(), &Giver::mSpare);
  auto spare = static_cast<std::size_t>(
    std::ranges::count_if(givers, [](const Giver& aGiver) { return aGiver.mSpare > 0; }));
  if (spare > 1) {
    auto first = static_cast<std::ptrdiff_t>(mTurn++ % spare);
    std::rotate(givers.begin(),
                givers.begin() + first,
                givers.begin() + static_cast<std::ptrdiff_t>(spare));
  }
  for (const Giver& giver : givers) {
    addresses.push_back(giver.mAddress);
  }
  return addresses;
}

} // namespace vanillaloft::decide
