// Tests of the choice of the few servers that hold an object: patterns of load that met
// the users' heaviest days.
#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "decide/rank.h"
#include "regions.h"

using namespace vanillaloft::decide;
using vanillaloft::test::TwoRegions;

namespace {

// Servers of regions with two data centres each, as many in each as aCounts says, seen
// from the data centre aOwn.
std::vector<EligibleServer> Placed(const std::vector<int>& aCounts, std::size_t aOwn)
{
  std::vector<EligibleServer> servers;
  for (std::size_t centre = 0; centre < aCounts.size(); ++centre) {
    bool sameRegion = centre / 2 == aOwn / 2;
    Locality reach = centre == aOwn ? Locality::OwnDataCentre
                     : sameRegion   ? Locality::OwnRegion
                                    : Locality::OtherRegion;
    for (int i = 0; i < aCounts[centre]; ++i) {
      std::uint64_t key = 1000 + servers.size();
      servers.push_back({ servers.size(),
                          key,
                          reach,
                          DataCentreId(centre),
                          RegionId(centre / 2),
                          4,
                          false });
    }
  }
  return servers;
}

// The holders of an object where no organisation is bound to a region.
std::vector<EligibleServer> Holders(std::uint64_t aObject,
                                    const std::vector<EligibleServer>& aServers)
{
  return RankCandidates(aObject, aServers, RegionCapacity(aServers));
}

// The best of the servers in the own region.
std::size_t InRegion(const std::vector<EligibleServer>& aCandidates)
{
  auto found = std::ranges::find_if(aCandidates, [](const EligibleServer& aServer) {
    return aServer.mLocality != Locality::OtherRegion;
  });
  REQUIRE(found != aCandidates.end());
  return found->mIndex;
}

} // namespace

// Pattern: data centres with one server each, whose callers ask about the same objects. A
// server that met all of them forgot each before it was asked about again.
TEST_CASE("single servers of a region's data centres share its objects")
{
  constexpr int kObjects = 73;
  std::vector<EligibleServer> servers = Placed({ 1, 1, 3, 3 }, 0);
  std::vector<EligibleServer> mates = Placed({ 1, 1, 3, 3 }, 1);
  std::map<std::size_t, int> homes;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    std::size_t home = InRegion(Holders(object, servers));
    CHECK(InRegion(Holders(object, mates)) == home);
    ++homes[home];
  }
  CHECK(homes[0] < kObjects * 2 / 3);
  CHECK(homes[1] < kObjects * 2 / 3);
}

TEST_CASE("a data centre's callers use the copy of its mate before another region's")
{
  std::vector<EligibleServer> servers = Placed({ 2, 2, 2, 2 }, 0);
  std::vector<EligibleServer> mates = Placed({ 2, 2, 2, 2 }, 1);
  for (std::uint64_t object = 0; object < 40; ++object) {
    std::vector<EligibleServer> candidates = Holders(object, servers);
    REQUIRE(candidates.size() == 3);
    CHECK(candidates[0].mLocality == Locality::OwnDataCentre);
    CHECK(candidates[1].mLocality == Locality::OwnRegion);
    CHECK(candidates[2].mLocality == Locality::OtherRegion);
    CHECK(Holders(object, mates)[0].mIndex == candidates[1].mIndex);
  }
}

// Pattern: a region with few servers was sent the overflow of others.
TEST_CASE("other regions' objects go where the own callers leave room")
{
  std::vector<EligibleServer> servers = Placed({ 2, 2, 1, 1, 3, 3 }, 0);
  int crowded = 0;
  constexpr int kObjects = 400;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    EligibleServer far = Holders(object, servers).back();
    REQUIRE(far.mLocality == Locality::OtherRegion);
    crowded += far.mDataCentre.Value() < 4 ? 1 : 0;
  }
  CHECK(crowded < kObjects / 10);
}

// Pattern: a region with few servers and as many callers as the others. What it cannot
// serve was refused until a slow move of traffic had made room.
TEST_CASE("a small region keeps only its part of the objects")
{
  constexpr int kObjects = 400;
  std::vector<EligibleServer> servers = Placed({ 1, 1, 2, 2, 3, 3 }, 0);
  CHECK(RegionCapacity(servers).HomeFraction() == doctest::Approx(0.5));
  CHECK(RegionCapacity(Placed({ 1, 1, 2, 2, 3, 3 }, 4)).HomeFraction() ==
        doctest::Approx(1));
  std::vector<EligibleServer> mates = Placed({ 1, 1, 2, 2, 3, 3 }, 1);
  int away = 0;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    bool leaves = Holders(object, servers).front().mLocality == Locality::OtherRegion;
    CHECK((Holders(object, mates).front().mLocality == Locality::OtherRegion) == leaves);
    away += leaves ? 1 : 0;
  }
  CHECK(away > kObjects * 2 / 5);
  CHECK(away < kObjects * 3 / 5);
}

// Pattern: large organisations are bound to the smallest region. Its servers met their
// objects beside those of callers who could have been served elsewhere, and forgot both.
TEST_CASE("callers who may go anywhere leave a region that bound organisations fill")
{
  constexpr int kObjects = 400;
  std::vector<int> counts{ 3, 3, 1, 1, 2, 2 };
  BoundDemand bound{ { 0, 0.36, 0 } };
  std::vector<EligibleServer> small = Placed(counts, 2);
  std::vector<EligibleServer> large = Placed(counts, 0);
  RegionCapacity capacity(small, bound);
  CHECK(capacity.HomeFraction() == doctest::Approx(0));
  CHECK(RegionCapacity(large, bound).HomeFraction() == doctest::Approx(1));
  CHECK(RegionCapacity(Placed(counts, 4), bound).HomeFraction() == doctest::Approx(1));
  int crowded = 0;
  for (std::uint64_t object = 0; object < kObjects; ++object) {
    CHECK(RankCandidates(object, small, capacity).front().mLocality ==
          Locality::OtherRegion);
    EligibleServer far =
      RankCandidates(object, large, RegionCapacity(large, bound)).back();
    REQUIRE(far.mLocality == Locality::OtherRegion);
    crowded += far.mRegion == RegionId(1) ? 1 : 0;
  }
  CHECK(crowded < kObjects / 10);
}

TEST_CASE("what is bound to a region follows from the organisations' homes and limits")
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
  add(0, {}); // counts as much as the others on average
  add(20, { RegionId(0), RegionId(1) });
  BoundDemand bound = EstimateBoundDemand(config);
  CHECK(bound.Of(RegionId(0)) == doctest::Approx(10.0 / 80));
  CHECK(bound.Of(RegionId(1)) == doctest::Approx(40.0 / 80));
}

TEST_CASE("few objects move when a server leaves")
{
  std::vector<EligibleServer> total = Placed({ 4, 4 }, 0);
  std::vector<EligibleServer> fewer = total;
  fewer.erase(fewer.begin());
  for (std::uint64_t object = 0; object < 100; ++object) {
    std::size_t before = Holders(object, total).front().mIndex;
    std::size_t after = Holders(object, fewer).front().mIndex;
    CHECK((before == after || before == 0));
  }
}
