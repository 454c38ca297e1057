// Tests of what backend servers say of themselves.
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
  fixture.mFleet.RecordLeaving(fixture.Choose());
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
  fixture.mFleet.RecordLeaving(first);
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
  CHECK(fixture.mFleet.MaySend(*server));
  fixture.mFleet.RecordLeaving(server);
  CHECK_FALSE(fixture.mFleet.MaySend(*server));
}

TEST_CASE("an answer from another server at an address speaks of that server")
{
  Fixture fixture(2);
  fixture.mFleet.RecordLeavingAt({ "127.0.0.1", 2 });
  CHECK(fixture.Choose());
  fixture.mFleet.RecordLeavingAt({ "127.0.0.1", 1 });
  CHECK_FALSE(fixture.Choose());
}
