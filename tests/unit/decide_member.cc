// Unit tests of membership in large fleets.
#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/member.h"

using namespace vanillaloft::decide;

namespace {

std::string AddressOf(std::size_t aIndex)
{
  return fmt::format("127.0.0.1:{}", 1000 + aIndex);
}

} // namespace

TEST_CASE("instances that know the same addresses have the same digest")
{
  Members one(AddressOf(1), "d1");
  Members two(AddressOf(2), "d2");
  CHECK(one.AddressDigest() != two.AddressDigest());
  one.AddAddress(AddressOf(2), "");
  CHECK(one.AddressDigest() != two.AddressDigest());
  one.AddAddress(AddressOf(2), "d2");
  one.AddAddress(AddressOf(3), "d1");
  two.AddAddress(AddressOf(3), "d1");
  two.AddAddress(AddressOf(1), "d1");
  CHECK(one.AddressDigest() == two.AddressDigest());
  two.AddAddress(AddressOf(3), "d1");
  CHECK(one.AddressDigest() == two.AddressDigest());
}

// Guards against heartbeats that grow with the fleet: with 295 instances, each sent all
// addresses to some 35 others and got as many back, more than a megabyte a second.
TEST_CASE("a heartbeat names a few addresses, and all are named in turn")
{
  constexpr std::size_t kInstances = 295;
  constexpr std::size_t kMost = 24;
  Members members(AddressOf(0), "d1");
  for (std::size_t i = 1; i < kInstances; ++i) {
    members.AddAddress(AddressOf(i), "d1");
  }
  std::map<std::string, int> named;
  std::string last;
  for (std::size_t i = 0; i < kInstances / kMost + 1; ++i) {
    auto addresses = members.AddressesAfter(last, kMost);
    REQUIRE(addresses.size() == kMost);
    for (const KnownAddress& address : addresses) {
      ++named[address.mAddress];
    }
    last = addresses.back().mAddress;
  }
  CHECK(named.size() == kInstances - 1);
  CHECK(members.AddressesAfter("", 1000).size() == kInstances - 1);
}
