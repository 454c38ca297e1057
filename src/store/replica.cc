#include "store/replica.h"

#include <algorithm>
#include <set>

namespace vanillaloft::store {

namespace {

// Deletions that are remembered. Beyond, the older half is forgotten.
constexpr std::size_t kMostDeletions = 4096;

} // namespace

// True if the item is newer than what was known.
bool Replica::Put(const Item& aItem)
{
  auto [known, added] = mItems.try_emplace(aItem.mKey, aItem);
  if (!added) {
    if (aItem.mRevision <= known->second.mRevision) {
      return false;
    }
    mDeletions -= known->second.mDeleted ? 1 : 0;
    known->second = aItem;
  }
  mDeletions += aItem.mDeleted ? 1 : 0;
  mPosition.mLastChangeRevision =
    std::max(mPosition.mLastChangeRevision, aItem.mRevision);
  return true;
}

std::vector<Item> Replica::Merge(const std::vector<Item>& aItems)
{
  std::vector<Item> news;
  for (const Item& item : aItems) {
    if (Put(item)) {
      news.push_back(item);
    }
  }
  return news;
}

void Replica::Advance(std::uint64_t aComplete, Instant aAsOf)
{
  mPosition.mCompleteRevision = std::max(mPosition.mCompleteRevision, aComplete);
  mAsOf = mAsOf ? std::max(*mAsOf, aAsOf) : aAsOf;
  if (mDeletions > kMostDeletions) {
    ForgetDeletions();
  }
}

void Replica::ForgetDeletions()
{
  std::vector<std::uint64_t> revisions;
  for (const auto& [key, item] : mItems) {
    if (item.mDeleted) {
      revisions.push_back(item.mRevision);
    }
  }
  auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::ranges::nth_element(revisions, middle);
  mHistoryFrom = std::max(mHistoryFrom, *middle);
  mDeletions -= std::erase_if(mItems, [&](const auto& aEntry) {
    return aEntry.second.mDeleted && aEntry.second.mRevision <= mHistoryFrom;
  });
}

// What a listing lacks was deleted while nobody watched, unless it is newer than the
// listing. What came and went meanwhile is not known, so nobody can be told of it.
std::vector<Item> Replica::ApplyListing(const ItemBatch& aListed, Instant aAsOf)
{
  std::set<std::string> listed;
  for (const Item& item : aListed.mItems) {
    listed.insert(item.mKey);
  }
  std::vector<Item> missing;
  for (const auto& [key, item] : mItems) {
    if (!item.mDeleted && item.mRevision < aListed.mRevision && !listed.contains(key)) {
      missing.push_back({ key, "", aListed.mRevision, true });
    }
  }
  std::vector<Item> news = Merge(missing);
  std::ranges::move(Merge(aListed.mItems), std::back_inserter(news));
  mHistoryFrom = std::max(mHistoryFrom, aListed.mRevision);
  Advance(aListed.mRevision, aAsOf);
  return news;
}

std::vector<Item> Replica::ApplyChanges(const ItemBatch& aChanges, Instant aAsOf)
{
  std::vector<Item> news = Merge(aChanges.mItems);
  Advance(aChanges.mRevision, aAsOf);
  return news;
}

std::vector<Item> Replica::ApplyDelta(const ReplicaDelta& aDifference, Instant aAsOf)
{
  return aDifference.mIsFullListing ? ApplyListing(aDifference.mItems, aAsOf)
                                    : ApplyChanges(aDifference.mItems, aAsOf);
}

void Replica::ConfirmCurrent(const ReplicaPosition& aOther, Instant aAsOf)
{
  if (HasListing() && !IsBehind(aOther)) {
    Advance(aOther.mCompleteRevision, aAsOf);
  }
}

ReplicaDelta Replica::DeltaSince(std::uint64_t aComplete) const
{
  ReplicaDelta difference;
  difference.mIsFullListing = aComplete < mHistoryFrom;
  difference.mItems.mRevision = mPosition.mCompleteRevision;
  for (const auto& [key, item] : mItems) {
    bool wanted = difference.mIsFullListing ? !item.mDeleted : item.mRevision > aComplete;
    if (wanted) {
      difference.mItems.mItems.push_back(item);
    }
  }
  return difference;
}

} // namespace vanillaloft::store
