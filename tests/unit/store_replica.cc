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
  replica.TakeListing({ { Written("a", 3), Written("b", 5) }, 10 }, kStart);
  return replica;
}

} // namespace

TEST_CASE("only what is newer than the copy is news")
{
  Replica replica = Listed();
  auto news =
    replica.TakeChanges({ { Written("a", 3), Written("b", 12) }, 12 }, kStart + 1s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].mKey == "b");
  CHECK(replica.At().mComplete == 12);
  CHECK(replica.AsOf() == kStart + 1s);
}

TEST_CASE("a listing deletes what it lacks, but not what is newer than itself")
{
  Replica replica = Listed();
  replica.TakeChanges({ { Written("c", 20) }, 20 }, kStart + 1s);
  auto news = replica.TakeListing({ { Written("a", 3) }, 15 }, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK(news[0].mKey == "b");
  CHECK(news[0].mDeleted);
  CHECK(replica.At().mComplete == 20);
}

TEST_CASE("another copy gets just what it lacks, deletions included")
{
  Replica ahead = Listed();
  Replica behind = Listed();
  ahead.TakeChanges({ { Deleted("a", 11), Written("c", 14) }, 16 }, kStart + 1s);
  REQUIRE(behind.Lacks(ahead.At()));
  Difference difference = ahead.Since(behind.At().mComplete);
  CHECK_FALSE(difference.mWhole);
  CHECK(difference.mItems.mItems.size() == 2);
  CHECK(behind.Take(difference, kStart + 1s).size() == 2);
  CHECK_FALSE(behind.Lacks(ahead.At()));
  CHECK(behind.At().mComplete == 16);
}

// A copy that was listed anew does not know what was deleted before.
TEST_CASE("a copy that stands before another's listing gets all of it")
{
  Replica behind = Listed();
  Replica ahead;
  ahead.TakeListing({ { Written("b", 5), Written("c", 14) }, 30 }, kStart + 1s);
  Difference difference = ahead.Since(behind.At().mComplete);
  CHECK(difference.mWhole);
  auto news = behind.Take(difference, kStart + 1s);
  REQUIRE(news.size() == 2);
  CHECK(news[0].mKey == "a");
  CHECK(news[0].mDeleted);
  CHECK(news[1].mKey == "c");
}

TEST_CASE("a copy without news of its own is as new as one that has nothing more")
{
  Replica replica = Listed();
  replica.Confirm({ 40, 5 }, kStart + 3s);
  CHECK(replica.At().mComplete == 40);
  CHECK(replica.AsOf() == kStart + 3s);
  replica.Confirm({ 50, 45 }, kStart + 4s);
  CHECK(replica.At().mComplete == 40);
  Replica never;
  never.Confirm({ 40, 0 }, kStart);
  CHECK_FALSE(never.IsListed());
}

TEST_CASE("a server that returns under its name is news again")
{
  Replica replica = Listed();
  replica.TakeChanges({ { Deleted("a", 11) }, 11 }, kStart + 1s);
  auto news = replica.TakeChanges({ { Written("a", 12) }, 12 }, kStart + 2s);
  REQUIRE(news.size() == 1);
  CHECK_FALSE(news[0].mDeleted);
}

TEST_CASE("deletions are remembered up to a bound, and then all is told")
{
  Replica replica = Listed();
  constexpr std::uint64_t kMany = 10'000;
  for (std::uint64_t i = 1; i <= kMany; ++i) {
    replica.TakeChanges({ { Deleted("x" + std::to_string(i), 10 + i) }, 10 + i }, kStart);
  }
  CHECK(replica.Since(10).mWhole);
  CHECK(replica.Since(10).mItems.mItems.size() == 2);
  Difference late = replica.Since(10 + kMany - 100);
  CHECK_FALSE(late.mWhole);
  CHECK(late.mItems.mItems.size() == 100);
}
