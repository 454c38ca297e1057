// Shares of fleet-wide budgets. A total (an organisation's rate and burst, a link's
// bandwidth, a region's spill) is split into a floor for each data centre and a pool that
// follows demand. One entry instance of each data centre holds its shares; they are
// recorded in one document of the platform's store, changed only by compare-and-swap.
//
// The safety argument: at any time the shares in use add up to at most the total, a
// bucket in a new hand starts empty, and tokens given to another instance are used within
// a bounded life for which the burst is reduced. So no window admits more than burst +
// rate * length.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "decide/bucket.h"
#include "decide/config.h"

namespace vanillaloft::decide {

// Thousandths of a budget's pool.
using PerMille = std::uint32_t;
constexpr PerMille kWholePool = 1000;

// How long a recorded pool share may be used after the request that recorded it was sent.
constexpr Duration kPoolLease = std::chrono::seconds(9);
// How long a recorded floor may be used.
constexpr Duration kFloorLease = std::chrono::hours(2);
// A new instance takes nothing for this long, so that holders that are alive and reach
// the store have repaired it in case it came back empty or older.
constexpr Duration kNewHolderWait = std::chrono::seconds(3);
constexpr Duration kRenewInterval = std::chrono::seconds(2);
// Clocks may run fast or slow by this much.
constexpr int kDriftPerMille = 10;
// Longest time from a token's debit at its holder to its use at another instance.
constexpr Duration kMaxTokenLife = std::chrono::milliseconds(60);

// The term as its holder counts it, on a clock that may be slow.
constexpr Duration HolderLease(Duration aTerm)
{
  return aTerm * (1000 - kDriftPerMille) / 1000;
}

// The term as one who reclaims counts it, on a clock that may be fast.
constexpr Duration ReclaimDelay(Duration aTerm)
{
  return aTerm * (1000 + kDriftPerMille) / 1000;
}

// A budget's total as it may be shared out, and the life of its tokens in flight.
struct UsableBudget
{
  Rate mRate;
  Duration mTokenLife{};
};

UsableBudget UsableBudgetOf(Rate aTotal);

// One holder's entry in the document.
struct ShareRecord
{
  std::string mDataCentre;
  Incarnation mHolder;
  std::uint64_t mSequence = 0; // rises with each renewal
  bool mFloor = false;         // holds the floor of its data centre
  std::map<std::string, PerMille> mPool;
  std::map<std::string, std::uint64_t> mDemand; // hundredths of a token in a second
};

struct ShareDocument
{
  std::uint64_t mWrites =
    0; // rises with each write, so that an older state is recognised
  std::vector<ShareRecord> mRecords;

  static constexpr std::string_view kKey = "vanillaloft/shares";

  const ShareRecord* Find(const Incarnation& aHolder) const;
  PerMille PoolInUse(const std::string& aBudget) const;

  // Throws std::runtime_error if the text is not a document of this kind.
  static ShareDocument Parse(std::string_view aText);
  std::string Text() const;
};

// The key of a budget in the document. Names outlive the dense indexes of one revision.
std::string BudgetKey(const Budget& aBudget);

// What this instance may spend, and what it writes to the document. Pure: the caller does
// the reading and writing and reports what became of it.
class ShareHolder
{
public:
  // aNewcomerWait may be zero only with a store that never comes back older or empty.
  ShareHolder(Incarnation aSelf,
              std::string aDataCentre,
              Duration aNewcomerWait = kNewHolderWait)
    : mSelf(std::move(aSelf))
    , mDataCentre(std::move(aDataCentre))
    , mNewHolderWait(aNewcomerWait)
  {
  }

  // Puts a configuration in force. Levels of budgets that stay are kept, within the new
  // share.
  void SetConfig(ConfigPtr aConfig, Instant aNow);

  // Takes note of a document that was read. aNow is a time after the reply arrived.
  void Observe(const ShareDocument& aDocument, Instant aNow);

  // The document to write next, if this instance should write. aNow is a time before the
  // write is sent; what is given up is no longer used from here on.
  std::optional<ShareDocument> PlanWrite(Instant aNow);

  // The planned write took effect.
  void WriteCommitted(Instant aNow);
  // The planned write did not take effect.
  void WriteConflicted();
  // No reply: the write may take effect, even later. Nothing gained by it is used until
  // it is read back.
  void WriteOutcomeUnknown();

  // The document without this instance's record, for a planned stop. Nothing is spent
  // after.
  std::optional<ShareDocument> ReleaseShares(Instant aNow);

  // Takes tokens from what is held now, for this instance or for one that asked.
  bool Debit(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Puts tokens back that were taken, here or from another holder, for a request that did
  // not run. They are lost if this instance holds no share of the budget.
  void Refund(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Time until an amount is there; Duration::max() if this share never reaches it.
  Duration TimeUntil(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Counts demand, whether it is met or not.
  void CountDemand(BudgetId aBudget, MicroTokens aAmount, Instant aNow);

  // True if another instance of this data centre holds its shares.
  bool OtherHolderAlive(Instant aNow) const;
  bool IsHolder() const { return mRecord.has_value(); }
  bool HoldsPool(Instant aNow) const { return mRecord && aNow < mPoolUntil; }
  bool HoldsFloor(Instant aNow) const
  {
    return mRecord && mRecord->mFloor && aNow < mFloorUntil;
  }
  // The rate and burst that may be used now.
  Rate CurrentShare(BudgetId aBudget, Instant aNow) const
  {
    return ShareOf(aBudget, aNow);
  }
  // Addresses to ask for tokens: the own data centre's holder first, then by what they
  // can spare. share.
  std::vector<std::string> TokenSources(BudgetId aBudget);
  const ShareDocument& Document() const { return mDocument; }
  std::uint64_t ReclaimCount() const { return mReclaimed; }

private:
  struct Sight
  {
    std::uint64_t mSequence = 0;
    Instant mSince{};
  };

  bool Lapsed(const ShareRecord& aRecord, Duration aTerm, Instant aNow) const;
  bool MayIncrease(Instant aNow) const { return aNow >= mNoIncreaseUntil; }
  bool MayStart(Instant aNow) const;
  bool IsOlder(const ShareDocument& aDocument, Instant aNow) const;
  ShareDocument Repaired(ShareDocument aDocument) const;
  void Look(Instant aNow);
  void DropLapsed(ShareDocument& aDocument, Instant aNow);
  bool FloorFree(const ShareDocument& aDocument) const;
  PerMille Want(const ShareDocument& aDocument,
                const std::string& aKey,
                Rate aPool) const;
  const ShareRecord* TopOf(const ShareDocument& aDocument, const std::string& aKey) const;
  void Reduce(const ShareRecord& aTo);
  void Settle(Instant aNow);
  void Refresh(Instant aNow);
  Rate ShareOf(BudgetId aBudget, Instant aNow) const;
  std::map<std::string, std::uint64_t> MeasuredDemand(Instant aNow);

  Incarnation mSelf;
  std::string mDataCentre;
  Duration mNewHolderWait;
  ConfigPtr mConfig;
  std::vector<Bucket> mBuckets;
  std::vector<std::string> mKeys;  // of the budgets
  std::vector<double> mDemand;     // tokens a second, smoothed
  std::vector<MicroTokens> mAsked; // since mDemandSince
  Instant mDemandSince{};

  ShareDocument mDocument; // as last read or written
  std::map<Incarnation, Sight> mSights;
  bool mSeen = false;
  Instant mSeenSince{};
  Instant mNoIncreaseUntil{};

  std::optional<ShareRecord> mRecord; // in use
  Instant mPoolUntil{};
  Instant mFloorUntil{};
  std::optional<ShareDocument> mPlanned;
  Instant mPlannedAt{};
  std::map<std::uint64_t, Instant>
    mUnread; // sequence of a write without reply -> time sent
  std::uint64_t mNextSequence = 1;
  bool mLeft = false;
  bool mPoolWasHeld = false;
  bool mFloorWasHeld = false;
  std::uint64_t mReclaimed = 0;
  std::size_t mTurn = 0;
};

} // namespace vanillaloft::decide
