// Unit tests of Replica.
#include <doctest/doctest.h>

#include "store/replica.h"

using namespace vanillaloft;
using namespace vanillaloft::store;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1h };

Item Written(const std::string& aKey, std::uint64_t aRevision)
{
  return { aKey, "value", aRevision, false };
}

Item Deleted(const std::string& aKey, std::uint64_t aRevision)
{
  return { aKey, "", aRevision, true };
}

Replica ListedReplica()
{
  Replica replica;
  replica.ApplyListing({ { Written("a", 3), Written("b", 5) }, 10 }, kStart);
  return replica;
}

} // namespace

TEST_CASE("only items newer than the replica are reported as changed")
{
  Replica replica = ListedReplica();
  auto changed =
    replica.ApplyChanges({ { Written("a", 3), Written("b", 12) }, 12 }, kStart + 1s);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].mKey == "b");
  CHECK(replica.Position().mCompleteRevision == 12);
  CHECK(replica.AsOf() == kStart + 1s);
}

TEST_CASE("a listing deletes the items that it lacks, except newer ones")
{
  Replica replica = ListedReplica();
  replica.ApplyChanges({ { Written("c", 20) }, 20 }, kStart + 1s);
  auto changed = replica.ApplyListing({ { Written("a", 3) }, 15 }, kStart + 2s);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].mKey == "b");
  CHECK(changed[0].mDeleted);
  CHECK(replica.Position().mCompleteRevision == 20);
}

TEST_CASE("a delta has only the items that the other replica lacks, including deletions")
{
  Replica ahead = ListedReplica();
  Replica behind = ListedReplica();
  ahead.ApplyChanges({ { Deleted("a", 11), Written("c", 14) }, 16 }, kStart + 1s);
  REQUIRE(behind.IsBehind(ahead.Position()));
  ReplicaDelta delta = ahead.DeltaSince(behind.Position().mCompleteRevision);
  CHECK_FALSE(delta.mIsFullListing);
  CHECK(delta.mBatch.mItems.size() == 2);
  CHECK(behind.ApplyDelta(delta, kStart + 1s).size() == 2);
  CHECK_FALSE(behind.IsBehind(ahead.Position()));
  CHECK(behind.Position().mCompleteRevision == 16);
}

// A replica has no tombstones of items that were deleted before its own listing, so a
// delta from an earlier revision would miss these deletions.
TEST_CASE("a replica older than the other's listing gets a full listing")
{
  Replica behind = ListedReplica();
  Replica ahead;
  ahead.ApplyListing({ { Written("b", 5), Written("c", 14) }, 30 }, kStart + 1s);
  ReplicaDelta delta = ahead.DeltaSince(behind.Position().mCompleteRevision);
  CHECK(delta.mIsFullListing);
  auto changed = behind.ApplyDelta(delta, kStart + 1s);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].mKey == "a");
  CHECK(changed[0].mDeleted);
  CHECK(changed[1].mKey == "c");
}

TEST_CASE("ConfirmCurrent advances a replica only if it is not behind and has a listing")
{
  Replica replica = ListedReplica();
  replica.ConfirmCurrent({ 40, 5 }, kStart + 3s);
  CHECK(replica.Position().mCompleteRevision == 40);
  CHECK(replica.AsOf() == kStart + 3s);
  replica.ConfirmCurrent({ 50, 45 }, kStart + 4s);
  CHECK(replica.Position().mCompleteRevision == 40);
  Replica unlisted;
  unlisted.ConfirmCurrent({ 40, 0 }, kStart);
  CHECK_FALSE(unlisted.HasListing());
}

// Guards against an instance that never learns that a server left (DRAIN): a peer that
// has restarted lists the items after a deletion, so its newest change is older than that
// deletion, and it must not confirm a replica that still has the item.
TEST_CASE("a replica is not confirmed by one that listed after a deletion it may lack")
{
  Replica behind = ListedReplica();
  Replica restarted;
  restarted.ApplyListing({ { Written("a", 3) }, 30 }, kStart + 1s);
  behind.ConfirmCurrent(restarted.Position(), kStart + 1s);
  CHECK(behind.Position().mCompleteRevision == 10);
  CHECK(behind.AsOf() == kStart);
  auto changed = behind.ApplyChanges({ { Deleted("b", 20) }, 31 }, kStart + 2s);
  CHECK(changed.size() == 1);
  behind.ConfirmCurrent(restarted.Position(), kStart + 3s);
  CHECK(behind.AsOf() == kStart + 3s);
}

// Guards against a server that left and comes back (DRAIN): a starting instance gets a
// newer listing from a peer before its own, slower one arrives.
TEST_CASE("an older listing does not bring back an item that was deleted since")
{
  Replica replica;
  replica.ApplyListing({ { Written("a", 3) }, 30 }, kStart + 2s);
  ItemBatch older{ { Written("a", 3), Written("b", 5), Written("late page", 32) }, 20 };
  auto changed = replica.ApplyListing(older, kStart + 1s);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].mKey == "late page");
  CHECK(replica.Position().mCompleteRevision == 30);
  CHECK(replica.AsOf() == kStart + 2s);
}

// The same with the answer to a watch, or a peer's delta, that was sent before the newer
// listing arrived.
TEST_CASE("older changes do not bring back an item that was deleted since")
{
  Replica replica = ListedReplica();
  replica.ApplyListing({ { Written("a", 3) }, 30 }, kStart + 2s);
  CHECK(replica.ApplyChanges({ { Written("c", 15) }, 20 }, kStart + 1s).empty());
  CHECK(replica.ApplyChanges({ { Written("c", 31) }, 31 }, kStart + 3s).size() == 1);
}

TEST_CASE("an item that is written again after its deletion is reported as changed")
{
  Replica replica = ListedReplica();
  replica.ApplyChanges({ { Deleted("a", 11) }, 11 }, kStart + 1s);
  auto changed = replica.ApplyChanges({ { Written("a", 12) }, 12 }, kStart + 2s);
  REQUIRE(changed.size() == 1);
  CHECK_FALSE(changed[0].mDeleted);
}

TEST_CASE("beyond the tombstone limit, old revisions get a full listing")
{
  Replica replica = ListedReplica();
  constexpr std::uint64_t kDeletionCount = 10'000;
  for (std::uint64_t i = 1; i <= kDeletionCount; ++i) {
    replica.ApplyChanges({ { Deleted("x" + std::to_string(i), 10 + i) }, 10 + i },
                         kStart);
  }
  CHECK(replica.DeltaSince(10).mIsFullListing);
  CHECK(replica.DeltaSince(10).mBatch.mItems.size() == 2);
  ReplicaDelta recent = replica.DeltaSince(10 + kDeletionCount - 100);
  CHECK_FALSE(recent.mIsFullListing);
  CHECK(recent.mBatch.mItems.size() == 100);
}
