// Tests of the ranking of servers as candidates for an object, with load patterns from
// the users' days of heaviest load.
#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "decide/rank.h"
#include "regions.h"

using namespace vanillaloft::decide;
using vanillaloft::test::TwoRegions;

namespace {

// Returns the servers of regions with two data centres each, relative to the data centre
// aOwn. aCounts has the number of servers in each data centre.
std::vector<EligibleServer> ServersOf(const std::vector<int>& aCounts, std::size_t aOwn)
{
  std::vector<EligibleServer> servers;
  for (std::size_t centre = 0; centre < aCounts.size(); ++centre) {
    bool sameRegion = centre / 2 == aOwn / 2;
    Locality locality = centre == aOwn ? Locality::OwnDataCentre
                        : sameRegion   ? Locality::OwnRegion
                                       : Locality::OtherRegion;
    for (int i = 0; i < aCounts[centre]; ++i) {
      std::uint64_t key = 1000 + servers.size();
      servers.push_back({ servers.size(),
                          key,
                          locality,
                          DataCentreId(centre),
                          RegionId(centre / 2),
                          4,
                          false });
    }
  }
  return servers;
}

// The candidates for an object if no organisation is bound to a region.
std::vector<EligibleServer> CandidatesFor(std::uint64_t aObject,
                                          const std::vector<EligibleServer>& aServers)
{
  return RankCandidates(aObject, aServers, RegionCapacity(aServers));
}

// Index of the best candidate in the own region.
std::size_t BestInRegion(const std::vector<EligibleServer>& aCandidates)
{
  auto found = std::ranges::find_if(aCandidates, [](const EligibleServer& aServer) {
    return aServer.mLocality != Locality::OtherRegion;
  });
  REQUIRE(found != aCandidates.end());
  return found->mIndex;
}

} // namespace

// Data centres with one server each, whose callers request the same objects. A server
// that got all of them had dropped each object before the next request for it.
TEST_CASE("single servers of a region's data centres divide its objects")
{
  constexpr int kObjects = 73;
  std::vector<EligibleServer> servers = ServersOf({ 1, 1, 3, 3 }, 0);
  std::vector<EligibleServer> neighbours = ServersOf({ 1, 1, 3, 3 }, 1);
  std::map<std::size_t, int> homes;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    std::size_t home = BestInRegion(CandidatesFor(object, servers));
    CHECK(BestInRegion(CandidatesFor(object, neighbours)) == home);
    ++homes[home];
  }
  CHECK(homes[0] < kObjects * 2 / 3);
  CHECK(homes[1] < kObjects * 2 / 3);
}

TEST_CASE(
  "the second candidate is in the region's other data centre, the third elsewhere")
{
  std::vector<EligibleServer> servers = ServersOf({ 2, 2, 2, 2 }, 0);
  std::vector<EligibleServer> neighbours = ServersOf({ 2, 2, 2, 2 }, 1);
  for (std::uint64_t object = 0; object < 40; ++object) {
    std::vector<EligibleServer> candidates = CandidatesFor(object, servers);
    REQUIRE(candidates.size() == 3);
    CHECK(candidates[0].mLocality == Locality::OwnDataCentre);
    CHECK(candidates[1].mLocality == Locality::OwnRegion);
    CHECK(candidates[2].mLocality == Locality::OtherRegion);
    CHECK(CandidatesFor(object, neighbours)[0].mIndex == candidates[1].mIndex);
  }
}

// A region with few servers got the spillover of other regions.
TEST_CASE("spillover goes to regions whose own callers leave slots free")
{
  std::vector<EligibleServer> servers = ServersOf({ 2, 2, 1, 1, 3, 3 }, 0);
  int toSmallRegion = 0;
  constexpr int kObjects = 400;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    EligibleServer remote = CandidatesFor(object, servers).back();
    REQUIRE(remote.mLocality == Locality::OtherRegion);
    toSmallRegion += remote.mDataCentre.Value() < 4 ? 1 : 0;
  }
  CHECK(toSmallRegion < kObjects / 10);
}

// A region with few servers and as many callers as the others. Requests beyond its
// capacity were refused until traffic had slowly moved to other regions.
TEST_CASE("a small region handles only the fraction of objects that it has capacity for")
{
  constexpr int kObjects = 400;
  std::vector<EligibleServer> servers = ServersOf({ 1, 1, 2, 2, 3, 3 }, 0);
  CHECK(RegionCapacity(servers).HomeFraction() == doctest::Approx(0.5));
  CHECK(RegionCapacity(ServersOf({ 1, 1, 2, 2, 3, 3 }, 4)).HomeFraction() ==
        doctest::Approx(1));
  std::vector<EligibleServer> neighbours = ServersOf({ 1, 1, 2, 2, 3, 3 }, 1);
  int remote = 0;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    bool leaves =
      CandidatesFor(object, servers).front().mLocality == Locality::OtherRegion;
    CHECK((CandidatesFor(object, neighbours).front().mLocality ==
           Locality::OtherRegion) == leaves);
    remote += leaves ? 1 : 0;
  }
  CHECK(remote > kObjects * 2 / 5);
  CHECK(remote < kObjects * 3 / 5);
}

// Large organisations are bound to the smallest region. Its servers got their objects
// and those of callers who could have been served elsewhere, and could not keep both.
TEST_CASE("unbound requests leave a region that bound organisations fill")
{
  constexpr int kObjects = 400;
  std::vector<int> counts{ 3, 3, 1, 1, 2, 2 };
  BoundDemand bound{ { 0, 0.36, 0 } };
  std::vector<EligibleServer> small = ServersOf(counts, 2);
  std::vector<EligibleServer> large = ServersOf(counts, 0);
  RegionCapacity capacity(small, bound);
  CHECK(capacity.HomeFraction() == doctest::Approx(0));
  CHECK(RegionCapacity(large, bound).HomeFraction() == doctest::Approx(1));
  CHECK(RegionCapacity(ServersOf(counts, 4), bound).HomeFraction() == doctest::Approx(1));
  int toSmallRegion = 0;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    CHECK(RankCandidates(object, small, capacity).front().mLocality ==
          Locality::OtherRegion);
    EligibleServer remote =
      RankCandidates(object, large, RegionCapacity(large, bound)).back();
    REQUIRE(remote.mLocality == Locality::OtherRegion);
    toSmallRegion += remote.mRegion == RegionId(1) ? 1 : 0;
  }
  CHECK(toSmallRegion < kObjects / 10);
}

TEST_CASE("bound demand is derived from the organisations' home regions and limits")
{
  Config config = *TwoRegions();
  auto add = [&](double aPerSecond, std::vector<RegionId> aHomes) {
    Organisation organisation;
    organisation.mHomes = std::move(aHomes);
    if (aPerSecond > 0) {
      organisation.mBudget = BudgetId(config.mBudgets.size());
      Rate rate{ static_cast<MicroTokens>(aPerSecond * double(kToken)), kToken };
      config.mBudgets.push_back({ BudgetKind::Organisation, "", rate });
    }
    config.mOrganisations.push_back(organisation);
  };
  CHECK(EstimateBoundDemand(config).Sum() == 0);
  add(30, { RegionId(1) });
  add(10, {});
  add(0, {}); // no limit: counts with the mean of the others
  add(20, { RegionId(0), RegionId(1) });
  BoundDemand bound = EstimateBoundDemand(config);
  CHECK(bound.Of(RegionId(0)) == doctest::Approx(10.0 / 80));
  CHECK(bound.Of(RegionId(1)) == doctest::Approx(40.0 / 80));
}

TEST_CASE("few objects move when a server leaves")
{
  std::vector<EligibleServer> total = ServersOf({ 4, 4 }, 0);
  std::vector<EligibleServer> fewer = total;
  fewer.erase(fewer.begin());
  for (std::uint64_t object = 0; object < 100; ++object) {
    std::size_t before = CandidatesFor(object, total).front().mIndex;
    std::size_t after = CandidatesFor(object, fewer).front().mIndex;
    CHECK((before == after || before == 0));
  }
}

// Guards against processes that end (LOST): the index of a home region that the settings
// did not list at the start is none.
TEST_CASE("an unknown home region binds no demand")
{
  Config config = *vanillaloft::test::TwoRegions();
  config.mOrganisations.push_back(
    { "a", BudgetId(), IsolatedKeys::Accept, {}, { RegionId(0), RegionId() } });
  BoundDemand bound = EstimateBoundDemand(config);
  CHECK(bound.Of(RegionId(0)) == doctest::Approx(0.5));
  CHECK(bound.Of(RegionId()) == 0);
}
