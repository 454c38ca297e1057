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
#include <vector>

#include "base/types.h"
#include "decide/bucket.h"
#include "decide/config.h"
#include "decide/division.h"
#include "decide/lease.h"
#include "decide/loans.h"
#include "decide/share_document.h"

namespace vanillaloft::decide {

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
  // True if by the document another holder's share refills faster than its demand. Does
  // not consider the holders at some addresses.
  bool OthersMaySpare(BudgetId aBudget, const std::vector<std::string>& aExcept) const;
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
  void LowerShare(const ShareRecord& aTo);
  void ApplyExpiry(Instant aNow);
  void UpdateBucketRates(Instant aNow);
  Rate ShareOf(BudgetId aBudget, Instant aNow) const;
  MicroTokens SpareRateOf(const ShareRecord& aRecord, BudgetId aBudget) const;
  Rate HeldBy(const ShareRecord& aRecord, BudgetId aBudget) const;
  std::map<std::string, std::uint64_t> MeasuredDemand(Instant aNow);

  Incarnation mSelf;
  std::string mDataCentre;
  Duration mNewHolderWait;
  ConfigPtr mConfig;
  std::vector<Bucket> mBuckets;
  std::vector<Loans> mLoans;                 // by BudgetId
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
