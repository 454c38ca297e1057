// Tests of what backend servers say of themselves: that they leave or want a pause.
#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/fleet.h"
#include "regions.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;
using vanillaloft::test::TwoRegions;

namespace {

// One data centre with servers of the service "stock".
struct Fixture
{
  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet{ "east-a", mMembers, 1.0 };
  ConfigPtr mConfig = TwoRegions();
  Instant mNow{ 1000s };
  PlacementQuery mQuery;

  explicit Fixture(int aServers)
  {
    mFleet.SetConfig(mConfig);
    mQuery.mConfig = mConfig;
    mQuery.mService = ServiceId(0);
    mQuery.mObject = "17";
    for (int i = 0; i < aServers; ++i) {
      Register(fmt::format("s-{}", i), 1);
    }
  }

  void Register(const std::string& aId, std::uint64_t aIncarnation)
  {
    Registration registration;
    registration.mId = aId;
    registration.mIncarnation = aIncarnation;
    registration.mService = "stock";
    registration.mDataCentre = "east-a";
    registration.mAddress = { "127.0.0.1", 1 };
    registration.mSlots = 4;
    mFleet.Register(registration, mNow);
  }

  ServerPtr Choose()
  {
    ServerPtr server = mFleet.Choose(mQuery, mNow).mServer;
    if (server) {
      mFleet.RecordResult(server, SendResult::Cancelled, mNow);
    }
    return server;
  }
};

} // namespace

// Guards against DRAIN: the store, a listing or a peer still calls the server ready.
TEST_CASE("a server that says it leaves gets nothing until it is started again")
{
  Fixture fixture(1);
  fixture.mFleet.RecordLeaving(fixture.Choose(), fixture.mNow);
  CHECK_FALSE(fixture.Choose());
  fixture.Register("s-0", 1); // a later copy of the entry
  CHECK_FALSE(fixture.Choose());
  fixture.mFleet.SetConfig(fixture.mConfig);
  CHECK_FALSE(fixture.Choose());
  fixture.mFleet.Deregister("s-0"); // the entry ends, and an older copy arrives
  fixture.Register("s-0", 1);
  CHECK_FALSE(fixture.Choose());
  fixture.mNow += 24h;
  CHECK_FALSE(fixture.Choose());
  fixture.Register("s-0", 2);
  CHECK(fixture.Choose());
  fixture.Register("s-0", 1); // an older boot's entry
  CHECK_FALSE(fixture.Choose());
}

TEST_CASE("the objects of a server that says it leaves move once")
{
  Fixture fixture(4);
  ServerPtr first = fixture.Choose();
  fixture.mFleet.RecordLeaving(first, fixture.mNow);
  ServerPtr second = fixture.Choose();
  REQUIRE(second);
  CHECK(second != first);
  CHECK(fixture.Choose() == second);
  fixture.Register(first->Id(), 1);
  CHECK(fixture.Choose() == second);
}

TEST_CASE("a request chosen before its server said that it leaves is not sent")
{
  Fixture fixture(2);
  ServerPtr server = fixture.mFleet.Choose(fixture.mQuery, fixture.mNow).mServer;
  CHECK(fixture.mFleet.MaySend(*server, fixture.mNow));
  fixture.mFleet.RecordLeaving(server, fixture.mNow);
  CHECK_FALSE(fixture.mFleet.MaySend(*server, fixture.mNow));
}

TEST_CASE("an answer from another server at an address speaks of that server")
{
  Fixture fixture(2);
  fixture.mFleet.RecordLeavingAt({ "127.0.0.1", 2 }, fixture.mNow);
  CHECK(fixture.Choose());
  fixture.mFleet.RecordLeavingAt({ "127.0.0.1", 1 }, fixture.mNow);
  CHECK_FALSE(fixture.Choose());
}

// Guards against BUDGET: requests to a server that asked for a pause.
TEST_CASE("a paused server gets nothing until the latest end of its pauses")
{
  Fixture fixture(1);
  ServerPtr server = fixture.Choose();
  fixture.mFleet.RecordPause(server, 3s, fixture.mNow);
  fixture.mFleet.RecordPause(server, 1s, fixture.mNow);
  fixture.mNow += 2999ms;
  CHECK_FALSE(fixture.mFleet.MaySend(*server, fixture.mNow));
  ServerChoice choice = fixture.mFleet.Choose(fixture.mQuery, fixture.mNow);
  CHECK_FALSE(choice.mServer);
  CHECK(choice.mReason == NoServerReason::AllPaused);
  CHECK(choice.mPausedUntil == fixture.mNow + 1ms);
  fixture.mFleet.Deregister("s-0");
  fixture.Register("s-0", 1);
  CHECK_FALSE(fixture.Choose());
  fixture.mNow += 1ms;
  CHECK(fixture.Choose());
}

TEST_CASE("a new boot ends a pause, and a pause of hours is limited")
{
  Fixture fixture(1);
  fixture.mFleet.RecordPause(fixture.Choose(), 10h, fixture.mNow);
  CHECK_FALSE(fixture.Choose());
  fixture.Register("s-0", 2);
  CHECK(fixture.Choose());
  fixture.Register("s-0", 1);
  CHECK_FALSE(fixture.Choose());
  fixture.mNow += kMaxRequestedPause;
  CHECK(fixture.Choose());
}

TEST_CASE("during a short pause requests spill at once and return to the same server")
{
  Fixture fixture(4);
  ServerPtr first = fixture.Choose();
  fixture.mFleet.RecordPause(first, kMaxSpillPause, fixture.mNow);
  ServerPtr other = fixture.Choose();
  REQUIRE(other);
  CHECK(other != first);
  fixture.mNow += kMaxSpillPause;
  CHECK(fixture.Choose() == first);
}

TEST_CASE("a long pause ranks a server after all others until its end")
{
  Fixture fixture(4);
  ServerPtr first = fixture.Choose();
  Duration pause = kMaxSpillPause + 5s;
  fixture.mFleet.RecordPause(first, pause, fixture.mNow);
  REQUIRE(fixture.Choose());
  CHECK(fixture.Choose() != first);
  fixture.mNow += pause;
  CHECK(fixture.Choose() == first);
}

TEST_CASE("while all usual servers of an object are paused another one serves it")
{
  Fixture fixture(8);
  for (int i = 0; i < 7; ++i) {
    ServerPtr server = fixture.Choose();
    REQUIRE(server);
    fixture.mFleet.RecordPause(server, 5s, fixture.mNow);
  }
  CHECK(fixture.mFleet.FirstPauseEnd(fixture.mQuery, fixture.mNow) == Instant());
  ServerPtr last = fixture.Choose();
  REQUIRE(last);
  fixture.mFleet.RecordPause(last, 4s, fixture.mNow);
  CHECK_FALSE(fixture.Choose());
  CHECK(fixture.mFleet.FirstPauseEnd(fixture.mQuery, fixture.mNow) == fixture.mNow + 4s);
}

TEST_CASE("refusals with a pause are no faults of the server")
{
  Fixture fixture(4);
  ServerPtr first = fixture.Choose();
  for (int i = 0; i < 5; ++i) {
    ++first->mInFlight;
    fixture.mFleet.RecordResult(first, SendResult::Paused, fixture.mNow);
  }
  CHECK(fixture.Choose() == first);
}

TEST_CASE("callers return spread over time, none before the pause ends")
{
  CHECK(RetryAfterPause(2s, 0) >= 2s);
  CHECK(RetryAfterPause(2s, 1) != RetryAfterPause(2s, 2));
}
