#include "store/replica.h"

#include <algorithm>
#include <set>

namespace vanillaloft::store {

namespace {

// Maximum number of tombstones. Beyond it, the older half is removed.
constexpr std::size_t kMaxTombstones = 4096;

} // namespace

// Stores the item if it is newer than the stored one. Returns true if it was stored.
bool Replica::PutIfNewer(const Item& aItem)
{
  auto [stored, added] = mItems.try_emplace(aItem.mKey, aItem);
  if (!added) {
    if (aItem.mRevision <= stored->second.mRevision) {
      return false;
    }
    mTombstoneCount -= stored->second.mDeleted ? 1 : 0;
    stored->second = aItem;
  }
  mTombstoneCount += aItem.mDeleted ? 1 : 0;
  mPosition.mLastChangeRevision =
    std::max(mPosition.mLastChangeRevision, aItem.mRevision);
  return true;
}

// An item up to aKnownUpTo that the replica lacks was deleted since, even if its
// tombstone is gone.
std::vector<Item> Replica::Merge(const std::vector<Item>& aItems,
                                 std::uint64_t aKnownUpTo)
{
  std::vector<Item> changed;
  for (const Item& item : aItems) {
    bool known = item.mRevision <= aKnownUpTo && !mItems.contains(item.mKey);
    if (!known && PutIfNewer(item)) {
      changed.push_back(item);
    }
  }
  return changed;
}

void Replica::AdvancePosition(std::uint64_t aCompleteRevision, Instant aAsOf)
{
  mPosition.mCompleteRevision = std::max(mPosition.mCompleteRevision, aCompleteRevision);
  mAsOf = mAsOf ? std::max(*mAsOf, aAsOf) : aAsOf;
  if (mTombstoneCount > kMaxTombstones) {
    PruneTombstones();
  }
}

void Replica::PruneTombstones()
{
  std::vector<std::uint64_t> revisions;
  for (const auto& [key, item] : mItems) {
    if (item.mDeleted) {
      revisions.push_back(item.mRevision);
    }
  }
  auto median = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::ranges::nth_element(revisions, median);
  mPosition.mTombstonesFrom = std::max(mPosition.mTombstonesFrom, *median);
  mTombstoneCount -= std::erase_if(mItems, [&](const auto& aEntry) {
    return aEntry.second.mDeleted && aEntry.second.mRevision <= mPosition.mTombstonesFrom;
  });
}

// An item that the listing lacks was deleted since the last update, unless it is newer
// than the listing. Items that were both created and deleted in between are unknown, so
// there are no tombstones for them, and older revisions get a full listing from this
// replica. A listing may arrive after a newer one from a peer, and then adds only newer
// items, which its later pages may have.
std::vector<Item> Replica::ApplyListing(const ItemBatch& aListing, Instant aAsOf)
{
  std::set<std::string> listed;
  for (const Item& item : aListing.mItems) {
    listed.insert(item.mKey);
  }
  std::vector<Item> missing;
  for (const auto& [key, item] : mItems) {
    if (!item.mDeleted && item.mRevision < aListing.mRevision && !listed.contains(key)) {
      missing.push_back({ key, "", aListing.mRevision, true });
    }
  }
  bool older = aListing.mRevision < mPosition.mCompleteRevision;
  std::uint64_t knownUpTo = older ? mPosition.mCompleteRevision : 0;
  std::vector<Item> changed = Merge(missing, 0);
  std::ranges::move(Merge(aListing.mItems, knownUpTo), std::back_inserter(changed));
  mPosition.mTombstonesFrom = std::max(mPosition.mTombstonesFrom, aListing.mRevision);
  AdvancePosition(aListing.mRevision, aAsOf);
  return changed;
}

std::vector<Item> Replica::ApplyChanges(const ItemBatch& aChanges, Instant aAsOf)
{
  std::vector<Item> changed = Merge(aChanges.mItems, mPosition.mCompleteRevision);
  AdvancePosition(aChanges.mRevision, aAsOf);
  return changed;
}

std::vector<Item> Replica::ApplyDelta(const ReplicaDelta& aDelta, Instant aAsOf)
{
  return aDelta.mIsFullListing ? ApplyListing(aDelta.mBatch, aAsOf)
                               : ApplyChanges(aDelta.mBatch, aAsOf);
}

void Replica::ConfirmCurrent(const ReplicaPosition& aOther, Instant aAsOf)
{
  if (HasListing() && !IsBehind(aOther) && !MayLackDeletions(aOther)) {
    AdvancePosition(aOther.mCompleteRevision, aAsOf);
  }
}

ReplicaDelta Replica::DeltaSince(std::uint64_t aCompleteRevision) const
{
  ReplicaDelta delta;
  delta.mIsFullListing = aCompleteRevision < mPosition.mTombstonesFrom;
  delta.mBatch.mRevision = mPosition.mCompleteRevision;
  for (const auto& [key, item] : mItems) {
    bool included =
      delta.mIsFullListing ? !item.mDeleted : item.mRevision > aCompleteRevision;
    if (included) {
      delta.mBatch.mItems.push_back(item);
    }
  }
  return delta;
}

} // namespace vanillaloft::store
