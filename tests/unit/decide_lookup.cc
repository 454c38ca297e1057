// Unit tests of look-ups: how callers are divided among the entry instances.
#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/lookup.h"

using namespace vanillaloft::decide;

// Guards against callers of a data centre that all get the same few instances while the
// others are idle, and against small instances with as many callers as large ones.
TEST_CASE("each instance gets callers in proportion to its weight")
{
  constexpr std::size_t kLarge = 2;
  constexpr std::size_t kSmall = 9;
  constexpr unsigned kLargeWeight = 5;
  constexpr std::uint32_t kClients = 4000;
  auto config = std::make_shared<Config>();
  config->mRegions.push_back({ "r", { DataCentreId(0) } });
  config->mDataCentres.push_back({ "d1", RegionId(0), false });
  Members members("127.0.0.1:1", "d1");
  auto statusOf = [&](std::size_t aIndex) {
    MemberStatus status;
    status.mSelf = { fmt::format("127.0.0.1:{}", aIndex), 1 };
    status.mEntryAddress = fmt::format("127.0.0.2:{}", aIndex);
    status.mDataCentre = "d1";
    status.mReady = true;
    status.mWeight = aIndex <= kLarge ? kLargeWeight : 1;
    return status;
  };
  for (std::size_t i = 2; i <= kLarge + kSmall; ++i) {
    members.RecordStatus(statusOf(i), Instant());
  }
  LookUp lookUp;
  lookUp.Rebuild(config, members, statusOf(1), Instant());
  std::map<std::string, double> share; // fraction of callers, each uses one at random
  for (std::uint32_t client = 0; client < kClients; ++client) {
    auto instances = lookUp.InstancesForDataCentre(DataCentreId(0), client);
    REQUIRE(instances.size() == 4);
    for (const EntryInstance& instance : instances) {
      share[instance.mAddress] += 1.0 / (4 * kClients);
    }
  }
  CHECK(share.size() == kLarge + kSmall);
  double total = kLarge * kLargeWeight + kSmall;
  for (std::size_t i = 1; i <= kLarge + kSmall; ++i) {
    double fair = (i <= kLarge ? kLargeWeight : 1) / total;
    CHECK(share[fmt::format("127.0.0.2:{}", i)] > 0.7 * fair);
    CHECK(share[fmt::format("127.0.0.2:{}", i)] < 1.5 * fair);
  }
}

TEST_CASE("a caller gets the same instances from whichever instance it asks")
{
  auto config = std::make_shared<Config>();
  config->mRegions.push_back({ "r", { DataCentreId(0) } });
  config->mDataCentres.push_back({ "d1", RegionId(0), false });
  constexpr std::size_t kInstances = 20;
  std::vector<LookUp> lookUps(kInstances);
  auto statusOf = [&](std::size_t aIndex) {
    MemberStatus status;
    status.mSelf = { fmt::format("127.0.0.1:{}", aIndex), 1 };
    status.mEntryAddress = fmt::format("127.0.0.2:{}", aIndex);
    status.mDataCentre = "d1";
    status.mReady = true;
    return status;
  };
  for (std::size_t self = 0; self < kInstances; ++self) {
    Members members(statusOf(self).mSelf.mAddress, "d1");
    for (std::size_t i = 0; i < kInstances; ++i) {
      members.RecordStatus(statusOf(i), Instant());
    }
    lookUps[self].Rebuild(config, members, statusOf(self), Instant());
  }
  auto addresses = [](const LookUp& aLookUp, std::uint32_t aClient) {
    std::vector<std::string> list;
    for (const auto& each : aLookUp.InstancesForDataCentre(DataCentreId(0), aClient)) {
      list.push_back(each.mAddress);
    }
    return list;
  };
  for (std::uint32_t client = 0; client < 50; ++client) {
    CHECK(addresses(lookUps[0], client) == addresses(lookUps[kInstances - 1], client));
  }
}
