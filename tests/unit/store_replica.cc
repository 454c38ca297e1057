// Tests of the copy of a part of the store.
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

Replica Listed()
{
  Replica replica;
  replica.ApplyListing({ { Written("a", 3), Written("b", 5) }, 10 }, kStart);
  return replica;
}

} // namespace

TEST_CASE("only what is newer than the copy is news")
{
  Replica replica = Listed();
  auto news =
    replica.ApplyChanges({ { Written("a", 3), Written("b", 12) }, 12 }, kStart + 1s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].mKey == "b");
  CHECK(replica.Position().mCompleteRevision == 12);
  CHECK(replica.AsOf() == kStart + 1s);
}

TEST_CASE("a listing deletes what it lacks, but not what is newer than itself")
{
  Replica replica = Listed();
  replica.ApplyChanges({ { Written("c", 20) }, 20 }, kStart + 1s);
  auto news = replica.ApplyListing({ { Written("a", 3) }, 15 }, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].mKey == "b");
  CHECK(news[0].mDeleted);
  CHECK(replica.Position().mCompleteRevision == 20);
}

TEST_CASE("another copy gets just what it lacks, deletions included")
{
  Replica ahead = Listed();
  Replica behind = Listed();
  ahead.ApplyChanges({ { Deleted("a", 11), Written("c", 14) }, 16 }, kStart + 1s);
  REQUIRE(behind.IsBehind(ahead.Position()));
  ReplicaDelta difference = ahead.DeltaSince(behind.Position().mCompleteRevision);
  CHECK_FALSE(difference.mIsFullListing);
  CHECK(difference.mItems.mItems.size() == 2);
  CHECK(behind.ApplyDelta(difference, kStart + 1s).size() == 2);
  CHECK_FALSE(behind.IsBehind(ahead.Position()));
  CHECK(behind.Position().mCompleteRevision == 16);
}

// A copy that was listed anew does not know what was deleted before.
TEST_CASE("a copy that stands before another's listing gets all of it")
{
  Replica behind = Listed();
  Replica ahead;
  ahead.ApplyListing({ { Written("b", 5), Written("c", 14) }, 30 }, kStart + 1s);
  ReplicaDelta difference = ahead.DeltaSince(behind.Position().mCompleteRevision);
  CHECK(difference.mIsFullListing);
  auto news = behind.ApplyDelta(difference, kStart + 1s);
  REQUIRE(news.size() == 2);
  CHECK(news[0].mKey == "a");
  CHECK(news[0].mDeleted);
  CHECK(news[1].mKey == "c");
}

TEST_CASE("a copy without news of its own is as new as one that has nothing more")
{
  Replica replica = Listed();
  replica.ConfirmCurrent({ 40, 5 }, kStart + 3s);
  CHECK(replica.Position().mCompleteRevision == 40);
  CHECK(replica.AsOf() == kStart + 3s);
  replica.ConfirmCurrent({ 50, 45 }, kStart + 4s);
  CHECK(replica.Position().mCompleteRevision == 40);
  Replica never;
  never.ConfirmCurrent({ 40, 0 }, kStart);
  CHECK_FALSE(never.HasListing());
}

TEST_CASE("a server that returns under its name is news again")
{
  Replica replica = Listed();
  replica.ApplyChanges({ { Deleted("a", 11) }, 11 }, kStart + 1s);
  auto news = replica.ApplyChanges({ { Written("a", 12) }, 12 }, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK_FALSE(news[0].mDeleted);
}

TEST_CASE("deletions are remembered up to a bound, and then all is told")
{
  Replica replica = Listed();
  constexpr std::uint64_t kMany = 10'000;
  for (std::uint64_t i = 1; i <= kMany; ++i) {
    replica.ApplyChanges({ { Deleted("x" + std::to_string(i), 10 + i) }, 10 + i },
                         kStart);
  }
  CHECK(replica.DeltaSince(10).mIsFullListing);
  CHECK(replica.DeltaSince(10).mItems.mItems.size() == 2);
  ReplicaDelta late = replica.DeltaSince(10 + kMany - 100);
  CHECK_FALSE(late.mIsFullListing);
  CHECK(late.mItems.mItems.size() == 100);
}
