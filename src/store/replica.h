// A copy of the items under one prefix of the platform's store. It knows up to which
// revision it is complete and how old it is, and remembers deletions, so that another
// copy can be brought up to date from it, also when the store has dropped its history.
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

// The parts of the store that instances follow.
enum class StoreSection : std::uint8_t
{
  OperatorData, // configuration and evacuations
  Registrations // registrations of backend servers
};
constexpr std::size_t kStoreSectionCount = 2;

// How far a copy reaches.
struct ReplicaPosition
{
  std::uint64_t mCompleteRevision = 0;   // all changes up to this revision are in it
  std::uint64_t mLastChangeRevision = 0; // revision of the last change that is in it
};

// What one copy has and another lacks.
struct ReplicaDelta
{
  ItemBatch mItems; // deleted ones, too
  bool mIsFullListing =
    false; // all items; what is missing was deleted, as behind a new listing
};

class Replica
{
public:
  // Takes a listing that was asked for at aAsOf. Returns what it changed.
  std::vector<Item> ApplyListing(const ItemBatch& aListed, Instant aAsOf);
  // Takes changes behind a revision up to which this copy was complete.
  std::vector<Item> ApplyChanges(const ItemBatch& aChanges, Instant aAsOf);
  // Takes what another copy had and this one lacked.
  std::vector<Item> ApplyDelta(const ReplicaDelta& aDifference, Instant aAsOf);

  // True if the other copy has changes that this one lacks.
  bool IsBehind(const ReplicaPosition& aOther) const
  {
    return aOther.mLastChangeRevision > mPosition.mCompleteRevision;
  }
  // Another copy, which was as new as the store at aAsOf, has nothing that this one
  // lacks.
  void ConfirmCurrent(const ReplicaPosition& aOther, Instant aAsOf);

  // What a copy that is complete up to a revision lacks.
  ReplicaDelta DeltaSince(std::uint64_t aComplete) const;

  bool HasListing() const { return mAsOf.has_value(); }
  const ReplicaPosition& Position() const { return mPosition; }
  // This copy is as new as the store was then, at least. None: never read.
  const std::optional<Instant>& AsOf() const { return mAsOf; }

private:
  std::vector<Item> Merge(const std::vector<Item>& aItems);
  bool Put(const Item& aItem);
  void Advance(std::uint64_t aComplete, Instant aAsOf);
  void ForgetDeletions();

  std::map<std::string, Item> mItems; // by key, with deletions
  std::size_t mDeletions = 0;
  ReplicaPosition mPosition;
  std::uint64_t mHistoryFrom = 0; // deletions behind this revision are remembered
  std::optional<Instant> mAsOf;
};

} // namespace vanillaloft::store
