// Shares of fleet-wide budgets. The total of a budget (an organisation's rate and burst,
// a link's bandwidth, a region's spillover) is split into a fixed floor for each data
// centre and a pool that is divided by demand. One entry instance of each data centre
// holds its shares. All shares are recorded in one document of the platform's store,
// which is changed only by compare-and-swap.
//
// Safety: at any time the shares in use add up to at most the total, the bucket of a new
// holder starts empty, and tokens given to another instance are used within a bounded
// time, for which the burst is reduced. So no time window admits more than burst + rate *
// length of the window.
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

// A share of a budget's pool, in thousandths.
using PerMille = std::uint32_t;
constexpr PerMille kWholePool = 1000;

// Lease of a pool share, counted from the time at which the write that recorded it was
// sent.
constexpr Duration kPoolLease = std::chrono::seconds(9);
// Lease of a floor, counted in the same way.
constexpr Duration kFloorLease = std::chrono::hours(2);
// A new instance claims no share for this long. If the store came back empty or with an
// older state, the live holders that reach it repair the document meanwhile.
constexpr Duration kNewHolderWait = std::chrono::seconds(3);
constexpr Duration kRenewInterval = std::chrono::seconds(2);
// Bound on how much a clock runs fast or slow.
constexpr int kDriftPerMille = 10;
// Longest time from the debit of a token at its holder to its use, at whichever instance.
constexpr Duration kMaxTokenLife = std::chrono::milliseconds(120);

// The lease as its holder counts it: shorter, because the holder's clock may be slow.
constexpr Duration HolderLease(Duration aLease)
{
  return aLease * (1000 - kDriftPerMille) / 1000;
}

// Time after which another instance may reclaim a share: longer than the lease, because
// that instance's clock may be fast.
constexpr Duration ReclaimDelay(Duration aLease)
{
  return aLease * (1000 + kDriftPerMille) / 1000;
}

// The part of a budget's total that may be divided into shares, and the longest life of
// its tokens in flight.
struct UsableBudget
{
  Rate mRate;
  Duration mTokenLife{};
};

UsableBudget UsableBudgetOf(Rate aTotal);

// Lease of tokens that a holder lends to another instance, counted by the borrower from
// before it asked. A borrower that is a holder may pass them on within this lease.
constexpr Duration LoanLease(const UsableBudget& aUsable)
{
  return aUsable.mTokenLife * 2 / 3;
}

// Lease of tokens that an instance gets from the holder of its data centre, which may
// have borrowed them. Together with LoanLease it is at most the life of a token.
constexpr Duration RelayLease(const UsableBudget& aUsable)
{
  return aUsable.mTokenLife / 3;
}

// The record of one holder in the document.
struct ShareRecord
{
  std::string mDataCentre;
  Incarnation mHolder;
  std::uint64_t mSequence = 0;                  // increases with each renewal
  bool mFloor = false;                          // holds the floor of its data centre
  std::map<std::string, PerMille> mPool;        // by budget key
  std::map<std::string, std::uint64_t> mDemand; // hundredths of a token per second
};

struct ShareDocument
{
  // Increases with each write, so that an older state of the document is recognised.
  std::uint64_t mWrites = 0;
  std::vector<ShareRecord> mRecords;

  static constexpr std::string_view kKey = "vanillaloft/shares";

  const ShareRecord* Find(const Incarnation& aHolder) const;
  PerMille PoolInUse(const std::string& aBudget) const;

  // Parses the JSON text. Throws an exception derived from std::exception if the text is
  // not a share document.
  static ShareDocument Parse(std::string_view aText);
  std::string Text() const;
};

// The key of a budget in the document. It contains the name, because the indexes of
// budgets are valid for one configuration revision only.
std::string BudgetKey(const Budget& aBudget);

// Computes what this instance may spend and what it writes to the document. It does no
// input or output: the caller reads and writes the store and reports the results.
class ShareHolder
{
public:
  // aNewHolderWait may be zero only if the store never comes back older or empty.
  ShareHolder(Incarnation aSelf,
              std::string aDataCentre,
              Duration aNewHolderWait = kNewHolderWait)
    : mSelf(std::move(aSelf))
    , mDataCentre(std::move(aDataCentre))
    , mNewHolderWait(aNewHolderWait)
  {
  }

  // Applies a configuration. Budgets that remain keep their bucket levels, limited to the
  // burst of the new share.
  void SetConfig(ConfigPtr aConfig, Instant aNow);

  // Processes a document that was read. aNow is a time after the reply arrived.
  void Observe(const ShareDocument& aDocument, Instant aNow);

  // Returns the document to write next, if this instance should write. aNow is a time
  // before the write is sent. Shares that the document gives up are no longer used from
  // this call on.
  std::optional<ShareDocument> PlanWrite(Instant aNow);

  // Reports that the planned write took effect.
  void WriteCommitted(Instant aNow);
  // Reports that the planned write did not take effect.
  void WriteConflicted();
  // Reports that no reply to the planned write arrived. It may have taken effect or may
  // do so later, so shares that it gains are not used until they are read back.
  void WriteOutcomeUnknown();

  // Gives up all shares for a planned stop. Returns the document without this instance's
  // record, if it has one. No tokens can be debited after this call.
  std::optional<ShareDocument> ReleaseShares(Instant aNow);

  // Takes tokens that were borrowed, then tokens of the shares held now, for this
  // instance or for another one of its data centre. Returns false if there are not
  // enough.
  bool Debit(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Takes tokens of the shares held now for an instance that may pass them on. Returns
  // zero if there are fewer than aLeast, otherwise from aLeast to aMost; what is given
  // beyond aLeast is whole tokens and leaves a reserve for the own data centre. Borrowed
  // tokens are not lent, so that no token outlives its life.
  MicroTokens Lend(BudgetId aBudget, MicroTokens aLeast, MicroTokens aMost, Instant aNow);
  // Adds tokens that another holder lent. They lapse at aUntil and whenever the
  // configuration changes.
  void AddLoan(BudgetId aBudget, MicroTokens aAmount, Instant aUntil, Instant aNow);
  // Whole tokens that the demand of this data centre needs within a duration beyond what
  // its share refills; zero if this instance is no holder.
  MicroTokens Shortfall(BudgetId aBudget, Duration aTime, Instant aNow) const;
  // True if by the document another holder's share refills faster than its demand.
  bool OthersMaySpare(BudgetId aBudget) const;
  // Returns tokens that were debited here or at another holder for a request that did not
  // run. They are lost if this instance holds no share of the budget.
  void Refund(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Time until an amount is available; Duration::max() if this share never reaches it.
  Duration TimeUntil(BudgetId aBudget, MicroTokens aAmount, Instant aNow);
  // Counts demand, whether or not it is met.
  void CountDemand(BudgetId aBudget, MicroTokens aAmount, Instant aNow);

  // True if another address of this data centre has a record with an unexpired pool
  // lease.
  bool OtherHolderAlive(Instant aNow) const;
  bool IsHolder() const { return mRecord.has_value(); }
  bool HoldsPool(Instant aNow) const { return mRecord && aNow < mPoolUntil; }
  bool HoldsFloor(Instant aNow) const
  {
    return mRecord && mRecord->mFloor && aNow < mFloorUntil;
  }
  // The rate and burst that this instance may use now.
  Rate CurrentShare(BudgetId aBudget, Instant aNow) const
  {
    return ShareOf(aBudget, aNow);
  }
  // Addresses of holders to ask for tokens: the own data centre's holder first, then the
  // others by their spare rate, highest first. Among holders with a spare rate the start
  // rotates with each call.
  std::vector<std::string> TokenSources(BudgetId aBudget);
  const ShareDocument& Document() const { return mDocument; }
  // Number of records of other holders whose pool shares this instance reclaimed.
  std::uint64_t ReclaimCount() const { return mReclaimed; }

private:
  // Tokens that another holder lent.
  struct Loan
  {
    MicroTokens mAmount = 0;
    Instant mUntil{};
  };

  // When this instance first read the current sequence of another holder's record.
  struct Observation
  {
    std::uint64_t mSequence = 0;
    Instant mSince{};
  };

  bool LeaseExpired(const ShareRecord& aRecord, Duration aLease, Instant aNow) const;
  bool MayIncrease(Instant aNow) const { return aNow >= mNoIncreaseUntil; }
  bool MayBecomeHolder(Instant aNow) const;
  bool IsOlder(const ShareDocument& aDocument, Instant aNow) const;
  ShareDocument Repaired(ShareDocument aDocument) const;
  void UpdateObservations(Instant aNow);
  void DropExpired(ShareDocument& aDocument, Instant aNow);
  bool FloorIsFree(const ShareDocument& aDocument) const;
  PerMille TargetPoolShare(const ShareDocument& aDocument,
                           const std::string& aKey,
                           Rate aPool) const;
  const ShareRecord* PreferredHolder(const ShareDocument& aDocument,
                                     const std::string& aKey) const;
  void LowerShare(const ShareRecord& aTo);
  void ApplyExpiry(Instant aNow);
  void UpdateBucketRates(Instant aNow);
  Rate ShareOf(BudgetId aBudget, Instant aNow) const;
  MicroTokens SpareRateOf(const ShareRecord& aRecord, BudgetId aBudget) const;
  Rate HeldBy(const ShareRecord& aRecord, BudgetId aBudget) const;
  MicroTokens LoanLevel(BudgetId aBudget, Instant aNow);
  MicroTokens TakeLoans(BudgetId aBudget, MicroTokens aAmount);
  std::map<std::string, std::uint64_t> MeasuredDemand(Instant aNow);

  Incarnation mSelf;
  std::string mDataCentre;
  Duration mNewHolderWait;
  ConfigPtr mConfig;
  std::vector<Bucket> mBuckets;
  std::vector<std::vector<Loan>> mLoans;     // by BudgetId, the first to lapse first
  std::vector<std::string> mKeys;            // keys of the budgets, by BudgetId
  std::vector<double> mDemand;               // tokens per second, smoothed
  std::vector<MicroTokens> mRequestedTokens; // requested since mDemandSince
  Instant mDemandSince{};

  ShareDocument mDocument; // as last read or written
  std::map<Incarnation, Observation> mObservations;
  bool mHasDocument = false;
  Instant mFirstReadAt{};
  Instant mNoIncreaseUntil{};

  std::optional<ShareRecord> mRecord; // the own record in use
  Instant mPoolUntil{};
  Instant mFloorUntil{};
  std::optional<ShareDocument> mPlanned;
  Instant mPlannedAt{};
  // Writes without a reply: sequence -> time sent.
  std::map<std::uint64_t, Instant> mUnconfirmedWrites;
  std::uint64_t mNextSequence = 1;
  bool mReleased = false;
  bool mPoolWasHeld = false;
  bool mFloorWasHeld = false;
  std::uint64_t mReclaimed = 0;
  std::size_t mRotation = 0;
};

} // namespace vanillaloft::decide
