// Replica of the items under one prefix of the platform's store. It records the revision
// up to which it is complete and its age, and keeps tombstones of deleted items, so that
// another replica can be updated from it even if the store no longer has the changes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "store/feed.h"

namespace vanillaloft::store {

using base::Duration;
using base::Instant;

// Sections of the store that instances replicate. The values are sent to peers.
enum class StoreSection : std::uint8_t
{
  OperatorData, // configuration and evacuations
  Registrations // registrations of backend servers
};
constexpr std::size_t kStoreSectionCount = 2;

// Revisions that describe the state of a replica.
struct ReplicaPosition
{
  std::uint64_t mCompleteRevision = 0;   // the replica has all changes up to here
  std::uint64_t mLastChangeRevision = 0; // of the newest change in the replica
  // The replica has tombstones of all deletions after this revision. Earlier ones may
  // have left no trace in it.
  std::uint64_t mTombstonesFrom = 0;
};

// The items that one replica has and another lacks.
struct ReplicaDelta
{
  ItemBatch mBatch; // includes tombstones unless mIsFullListing
  // mBatch has all items; items that it lacks were deleted, as with a new listing.
  bool mIsFullListing = false;
};

// All Apply functions return the items that changed the replica.
class Replica
{
public:
  // Applies a listing that was requested at aAsOf.
  std::vector<Item> ApplyListing(const ItemBatch& aListing, Instant aAsOf);
  // Applies the changes after a revision up to which this replica was complete.
  std::vector<Item> ApplyChanges(const ItemBatch& aChanges, Instant aAsOf);
  // Applies the items that another replica had and this one lacked.
  std::vector<Item> ApplyDelta(const ReplicaDelta& aDelta, Instant aAsOf);

  // Returns true if the other replica has changes that this one lacks.
  bool IsBehind(const ReplicaPosition& aOther) const
  {
    return aOther.mLastChangeRevision > mPosition.mCompleteRevision;
  }
  // Returns true if there may be deletions that this replica lacks and the other replica
  // has no tombstones of.
  bool MayLackDeletions(const ReplicaPosition& aOther) const
  {
    return aOther.mTombstonesFrom > mPosition.mCompleteRevision;
  }
  // Marks this replica as current as of aAsOf, if it lacks no change up to the other
  // replica's complete revision. The other replica was as recent as the store at aAsOf.
  // No effect before the first listing.
  void ConfirmCurrent(const ReplicaPosition& aOther, Instant aAsOf);

  // Returns the items that a replica which is complete up to aCompleteRevision lacks.
  ReplicaDelta DeltaSince(std::uint64_t aCompleteRevision) const;

  bool HasListing() const { return mAsOf.has_value(); }
  const ReplicaPosition& Position() const { return mPosition; }
  // The replica is at least as recent as the store was at this time. Empty before the
  // first listing.
  const std::optional<Instant>& AsOf() const { return mAsOf; }

private:
  std::vector<Item> Merge(const std::vector<Item>& aItems, std::uint64_t aKnownUpTo);
  bool PutIfNewer(const Item& aItem);
  void AdvancePosition(std::uint64_t aCompleteRevision, Instant aAsOf);
  void PruneTombstones();

  std::map<std::string, Item> mItems; // by key, including tombstones
  std::size_t mTombstoneCount = 0;
  ReplicaPosition mPosition;
  std::optional<Instant> mAsOf;
};

} // namespace vanillaloft::store
