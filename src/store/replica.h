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
enum class Part : std::uint8_t
{
  Operators, // configuration and evacuations
  Servers    // registrations of backend servers
};
constexpr std::size_t kParts = 2;

// How far a copy reaches.
struct Reach
{
  std::uint64_t mComplete = 0; // all changes up to this revision are in it
  std::uint64_t mChanged = 0;  // revision of the last change that is in it
};

// What one copy has and another lacks.
struct Difference
{
  Items mItems;        // deleted ones, too
  bool mWhole = false; // all items; what is missing was deleted, as behind a new listing
};

class Replica
{
public:
  // Takes a listing that was asked for at aAsOf. Returns what it changed.
  std::vector<Item> TakeListing(const Items& aListed, Instant aAsOf);
  // Takes changes behind a revision up to which this copy was complete.
  std::vector<Item> TakeChanges(const Items& aChanges, Instant aAsOf);
  // Takes what another copy had and this one lacked.
  std::vector<Item> Take(const Difference& aDifference, Instant aAsOf);

  // True if the other copy has changes that this one lacks.
  bool Lacks(const Reach& aOther) const { return aOther.mChanged > mReach.mComplete; }
  // Another copy, which was as new as the store at aAsOf, has nothing that this one
  // lacks.
  void Confirm(const Reach& aOther, Instant aAsOf);

  // What a copy that is complete up to a revision lacks.
  Difference Since(std::uint64_t aComplete) const;

  bool IsListed() const { return mAsOf.has_value(); }
  const Reach& At() const { return mReach; }
  // This copy is as new as the store was then, at least. None: never read.
  const std::optional<Instant>& AsOf() const { return mAsOf; }

private:
  std::vector<Item> Merge(const std::vector<Item>& aItems);
  bool Put(const Item& aItem);
  void Advance(std::uint64_t aComplete, Instant aAsOf);
  void ForgetDeletions();

  std::map<std::string, Item> mItems; // by key, with deletions
  std::size_t mDeletions = 0;
  Reach mReach;
  std::uint64_t mHistoryFrom = 0; // deletions behind this revision are remembered
  std::optional<Instant> mAsOf;
};

} // namespace vanillaloft::store
