// Tests of the choice of backend servers by registration: patterns of load that met the
// users' heaviest days.
#include <set>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/fleet.h"
#include "decide/outage.h"
#include "decide/ramp.h"
#include "decide/route.h"
#include "regions.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;
using vanillaloft::test::TwoRegions;
namespace base = vanillaloft::base;

namespace {

constexpr Instant kStart{ 1000s };
constexpr double kAnyShift = 1.0;

Registration ServerAt(const std::string& aId, const std::string& aDataCentre)
{
  Registration registration;
  registration.mId = aId;
  registration.mIncarnation = 1;
  registration.mService = "stock";
  registration.mDataCentre = aDataCentre;
  registration.mAddress = { "127.0.0.1", 1 };
  registration.mSlots = 4;
  return registration;
}

struct Fixture
{
  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet;
  Instant mNow = kStart;

  explicit Fixture(double aMaxShift = kAnyShift)
    : mFleet("east-a", mMembers, aMaxShift)
  {
    mFleet.SetConfig(TwoRegions());
  }

  void AddServers(const std::string& aDataCentre, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mFleet.Register(ServerAt(fmt::format("{}-{}", aDataCentre, i), aDataCentre), mNow);
    }
  }

  static PlacementQuery QueryFor(const std::string& aObject)
  {
    PlacementQuery query;
    query.mService = ServiceId(0);
    query.mObject = aObject;
    return query;
  }

  // Chooses a server and lets it fail often.
  ServerPtr ChooseAndFail(const PlacementQuery& aQuery)
  {
    ServerPtr server = Choose(aQuery);
    for (int i = 0; i < 5; ++i) {
      ++server->mInFlight;
      mFleet.RecordResult(server, SendResult::Failed, mNow);
    }
    return server;
  }

  ServerPtr Choose(const PlacementQuery& aQuery)
  {
    return mFleet.Choose(aQuery, mNow).mServer;
  }
};

std::string IdOf(const ServerPtr& aServer)
{
  return aServer ? aServer->Id() : "none";
}

} // namespace

TEST_CASE("requests about one object meet at one server of the own data centre")
{
  Fixture there;
  there.AddServers("east-a", 3);
  there.AddServers("west-a", 3);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr first = there.Choose(query);
  REQUIRE(first);
  CHECK(first->mRegistration.mDataCentre == "east-a");
  for (int i = 0; i < 3; ++i) {
    CHECK(there.Choose(query) == first);
  }
}

TEST_CASE("all instances choose alike, whatever the order of registrations")
{
  Fixture one;
  Fixture other;
  one.AddServers("east-a", 3);
  for (int i : { 2, 0, 1 }) {
    other.mFleet.Register(ServerAt(fmt::format("east-a-{}", i), "east-a"), kStart);
  }
  for (int object = 0; object < 40; ++object) {
    PlacementQuery query = Fixture::QueryFor(std::to_string(object));
    CHECK(IdOf(one.Choose(query)) == IdOf(other.Choose(query)));
    for (const auto& [id, server] : one.mFleet.Servers()) {
      server->mInFlight = 0;
    }
    for (const auto& [id, server] : other.mFleet.Servers()) {
      server->mInFlight = 0;
    }
  }
}

// Pattern: many users at once. Spilling each request to any server with room taught all
// servers all objects, and all became slow.
TEST_CASE("a full server's objects stay on few servers")
{
  Fixture there;
  there.AddServers("east-a", 4);
  there.AddServers("east-b", 4);
  there.AddServers("west-a", 4);
  PlacementQuery query = Fixture::QueryFor("17");
  query.mMaySpill = true;
  std::set<std::string> used;
  while (ServerPtr server = there.Choose(query)) {
    used.insert(server->Id());
  }
  CHECK(used.size() == 3); // one here, one in the region, one in the other region
  CHECK(there.mFleet.Choose(query, there.mNow).mReason == NoServerReason::AllFull);
}

TEST_CASE("a process that has just started lets the usual part leave at once")
{
  ShiftLimiter ramp(0.1, 2s);
  Instant now = kStart;
  int left = 0;
  for (int i = 0; i < 100; ++i) {
    bool leaves = i % 2 == 0 && ramp.MayLeave(0.5, now);
    ramp.Count(leaves, now);
    left += leaves ? 1 : 0;
    now += 10ms;
  }
  CHECK(left >= 45);
}

TEST_CASE("a server that does not know the object is taken only after a wait")
{
  Fixture there;
  there.AddServers("east-a", 2);
  PlacementQuery query = Fixture::QueryFor("17");
  while (there.Choose(query)) {
  }
  query.mMaySpill = true;
  ServerPtr second = there.Choose(query);
  REQUIRE(second);
  query.mMaySpill = false;
  CHECK(there.Choose(query) == second); // it knows the object now
}

// Pattern: several instances send to one server and each sees only its own requests.
TEST_CASE("load reports count the requests of other instances, and fade")
{
  Fixture there;
  there.AddServers("east-a", 1);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr server = there.Choose(query);
  for (int i = 0; i < 20; ++i) {
    there.mFleet.RecordLoad(server, { 4, 1, 4 }, 250ms, there.mNow);
  }
  there.mFleet.RecordResult(server, SendResult::Answered, there.mNow);
  CHECK_FALSE(there.Choose(query));
  there.mNow += 10s;
  CHECK(there.Choose(query) == server);
}

// Pattern: answers take seconds, so reports are rare. When they faded faster than
// requests ended, many instances together filled the servers' queues.
TEST_CASE("a belief about other instances' load lasts as long as answers take")
{
  Fixture there;
  there.AddServers("east-a", 2);
  std::vector<ServerPtr> servers;
  for (const auto& [id, server] : there.mFleet.Servers()) {
    servers.push_back(server);
  }
  there.mFleet.RecordLoad(servers[0], { 4, 0, 4 }, 200ms, there.mNow);
  there.mFleet.RecordLoad(servers[1], { 4, 0, 4 }, 2s, there.mNow);
  CHECK(OtherInstancesLoad(*servers[0], there.mNow + 1s) < 1);
  CHECK(OtherInstancesLoad(*servers[1], there.mNow + 1s) > 2);
}

TEST_CASE("draining, evacuated, foreign and replaced servers get nothing")
{
  Fixture there;
  there.AddServers("east-a", 1);
  PlacementQuery query = Fixture::QueryFor("17");
  Registration draining = ServerAt("east-a-0", "east-a");
  draining.mDraining = true;
  there.mFleet.Register(draining, there.mNow);
  CHECK(there.mFleet.Choose(query, there.mNow).mReason == NoServerReason::NoCandidate);
  there.mFleet.Register(ServerAt("east-a-0", "east-a"), there.mNow);
  there.mFleet.SetEvacuated("east-a", true);
  CHECK_FALSE(there.Choose(query));
  there.mFleet.SetEvacuated("east-a", false);
  ServerPtr server = there.Choose(query);
  REQUIRE(server);
  there.mFleet.RecordResult(server, SendResult::Gone, there.mNow);
  CHECK_FALSE(there.Choose(query));
  Registration again = ServerAt("east-a-0", "east-a");
  again.mIncarnation = 2;
  there.mFleet.Register(again, there.mNow);
  CHECK(there.Choose(query));
}

TEST_CASE("homes of the route and of the organisation both bind")
{
  Fixture there;
  there.AddServers("east-a", 1);
  there.AddServers("west-a", 1);
  PlacementQuery query = Fixture::QueryFor("17");
  query.mRouteHomes = { RegionId(1) };
  CHECK(IdOf(there.Choose(query)) == "west-a-0");
  query.mOrganisationHomes = { RegionId(0) };
  CHECK_FALSE(there.Choose(query));
}

TEST_CASE("a cold server is filled at its pace, by its owner only")
{
  Fixture there;
  Registration cold = ServerAt("east-a-0", "east-a");
  cold.mColdLeft = 10s;
  cold.mSlots = 100;
  there.mFleet.Register(cold, there.mNow);
  cold = ServerAt("west-a-0", "west-a");
  cold.mColdLeft = 10s;
  there.mFleet.Register(cold, there.mNow);
  int sent = 0;
  PlacementQuery query = Fixture::QueryFor("17");
  query.mMaySpill = true;
  for (int i = 0; i < 500; ++i, there.mNow += 10ms) {
    ServerPtr server = there.Choose(query);
    sent += server ? 1 : 0;
    CHECK((!server || server->Id() == "east-a-0"));
  }
  CHECK(sent <= 5 * 5 + 5); // five seconds of the pace and its excess
  CHECK(sent >= 10);
}

TEST_CASE("a server that fails often is used only where no other has room")
{
  Fixture there;
  there.AddServers("east-a", 2);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr first = there.ChooseAndFail(query);
  CHECK(there.Choose(query) != first);
}

// Pattern: servers that were slow to answer or rejected requests for some seconds got
// nothing for the rest of the day.
TEST_CASE("a server that failed gets its objects back after a while")
{
  Fixture there;
  there.AddServers("east-a", 2);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr first = there.ChooseAndFail(query);
  CHECK(there.Choose(query) != first);
  there.mNow += 4s;
  CHECK(there.Choose(query) == first);
}

// Pattern: all servers of a service reject half of their requests at once, idle or not.
TEST_CASE("a server that rejects a request although it has free slots is not paused")
{
  Fixture there;
  there.AddServers("east-a", 1);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr server = there.Choose(query);
  there.mFleet.RecordLoad(server, { 0, 0, 4 }, 1ms, there.mNow);
  there.mFleet.RecordResult(server, SendResult::Full, there.mNow);
  CHECK(there.Choose(query) == server);
  there.mFleet.RecordLoad(server, { 6, 2, 4 }, 1ms, there.mNow);
  there.mFleet.RecordResult(server, SendResult::Full, there.mNow);
  CHECK_FALSE(there.Choose(query));
}

TEST_CASE("a refusal can be explained by what was believed of the object's servers")
{
  Fixture there;
  there.AddServers("east-a", 2);
  PlacementQuery query = Fixture::QueryFor("17");
  ServerPtr first = there.Choose(query);
  there.mFleet.RecordLoad(first, { 5, 0, 4 }, 100ms, there.mNow);
  there.mNow += 20ms;
  CHECK_FALSE(there.Choose(query));
  std::vector<CandidateState> states = there.mFleet.DescribeCandidates(query, there.mNow);
  REQUIRE(states.size() == 2);
  CHECK(states[0].mServer == first);
  CHECK(states[0].mInFlight == 1);
  CHECK(states[0].mOtherLoad > 3);
  CHECK(states[0].mReportAge == Duration(20ms));
  CHECK(states[0].mHasAffinity);
  CHECK_FALSE(states[0].mHasRoom);
  CHECK_FALSE(states[1].mReportAge.has_value());
  CHECK(states[1].mHasRoom); // left out: it does not know the object yet
}

// Pattern: at the start all servers are slow, and a third of a region's traffic left it
// within two seconds.
TEST_CASE("the part of the traffic that leaves a region changes slowly, both ways")
{
  constexpr double kMaxChange = 0.1;
  ShiftLimiter ramp(kMaxChange, 2s);
  Instant now = kStart;
  std::vector<bool> left;
  auto step = [&](bool aOverflows) {
    bool leaves = aOverflows ? ramp.MayLeave(0, now) : ramp.MustLeave(0, now);
    ramp.Count(leaves, now);
    left.push_back(leaves);
    now += 10ms;
  };
  for (int i = 0; i < 8000; ++i) {
    step(i < 4000);
  }
  auto shareOf = [&](std::size_t aFrom) {
    return double(std::count(
             left.begin() + long(aFrom), left.begin() + long(aFrom) + 200, true)) /
           200;
  };
  for (std::size_t i = 200; i + 400 <= left.size(); ++i) {
    CHECK(std::abs(shareOf(i + 200) - shareOf(i)) <= kMaxChange);
  }
  CHECK(shareOf(3800) > 0.7);
  CHECK(shareOf(7800) < 0.2);
}

TEST_CASE("requests of a split route are drawn by weight, each always alike")
{
  Route route;
  route.mSplit = { { ServiceId(0), 90 }, { ServiceId(1), 10 } };
  int second = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    second += SelectService(route, draw) == ServiceId(1) ? 1 : 0;
    CHECK(SelectService(route, draw) == SelectService(route, draw));
  }
  CHECK(second == 100);
}

TEST_CASE("returns of refused callers are spread")
{
  std::set<Duration> returns;
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    returns.insert(RetryAfter(base::Result::QueueTimeout, draw * 7919));
  }
  CHECK(returns.size() > 50);
  CHECK(RetryAfter(base::Result::AnswerLost, 1) == Duration::zero());
}

// A server that left 1.3 s after the store was back was used for two seconds more.
TEST_CASE("only registrations that lapsed with the store are kept for a while")
{
  CHECK(LapsedServerGrace(std::nullopt, kStart) == Duration::zero());
  CHECK(LapsedServerGrace(kStart, kStart) <= 2s);
  CHECK(LapsedServerGrace(kStart, kStart) >= 1s);
  CHECK(LapsedServerGrace(kStart, kStart + 500ms) <= 1500ms);
  CHECK(LapsedServerGrace(kStart, kStart + 1300ms) == Duration::zero());
}

TEST_CASE("an outage of the store is told from a cut of this instance alone")
{
  StoreOutage outage;
  CHECK_FALSE(outage.LastEnd(kStart));
  outage.RecordAnswer(kStart, kStart);
  // Peers go on having answers.
  for (Duration passed = 1s; passed <= 12s; passed += 1s) {
    outage.RecordAnswer(kStart + passed - 900ms, kStart + passed);
    CHECK_FALSE(outage.LastEnd(kStart + passed));
  }
  outage.RecordAnswer(kStart + 13s, kStart + 13s);
  CHECK_FALSE(outage.LastEnd(kStart + 13s));
  // Nobody has.
  CHECK(outage.LastEnd(kStart + 18s) == kStart + 18s);
  outage.RecordAnswer(kStart + 18s, kStart + 18200ms);
  CHECK(outage.LastEnd(kStart + 20s) == kStart + 18200ms);
}

TEST_CASE("old news about answers ends no outage")
{
  StoreOutage outage;
  outage.RecordAnswer(kStart, kStart);
  outage.RecordAnswer(kStart - 2s, kStart + 5s);
  CHECK(outage.LastEnd(kStart + 5s) == kStart + 5s);
}
