#include "decide/rank.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include <xxhash.h>

namespace vanillaloft::decide {

namespace {

// A data centre with fewer servers shares its objects with the others of the region: one
// server alone does not remember all of them.
constexpr std::size_t kFewestForOwnCopy = 2;
// An object has at least this many servers, if there are so many in its region.
constexpr std::size_t kFewestHolders = 2;
// A region's own callers are taken to need this part of an even share of all room. Only
// the rest of its servers' room is offered to other regions.
constexpr double kOwnNeed = 0.5;
constexpr double kLeastSpare = 0.05;
// Makes the draw for the home part independent of those for servers.
constexpr std::uint64_t kHomePartSalt = 0x686f6d65;

using Group = std::vector<PlacedServer>;

// Uniform in (0, 1), the same for the same pair.
double Draw(std::uint64_t aObject, std::uint64_t aServer)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  std::uint64_t hash = XXH3_64bits_withSeed(&aServer, sizeof aServer, aObject);
  return (double(hash) + 0.5) / kRange;
}

// Rendezvous hashing: each server's chance of being the first is its weight's share.
template<typename Weight>
const PlacedServer* First(const Group& aGroup, std::uint64_t aObject, Weight aWeight)
{
  const PlacedServer* best = nullptr;
  double bestScore = 0;
  for (const PlacedServer& server : aGroup) {
    double score = -aWeight(server) / std::log(Draw(aObject, server.mKey));
    bool better = !best || (best->mDoubtful && !server.mDoubtful) ||
                  (best->mDoubtful == server.mDoubtful && score > bestScore);
    if (better) {
      best = &server;
      bestScore = score;
    }
  }
  return best;
}

// Adds the object's first server of a group among those that are not there yet.
template<typename Weight>
void AddFirst(Group& aHolders, Group aGroup, std::uint64_t aObject, Weight aWeight)
{
  std::erase_if(aGroup, [&](const PlacedServer& aServer) {
    return std::ranges::find(aHolders, aServer.mIndex, &PlacedServer::mIndex) !=
           aHolders.end();
  });
  if (const PlacedServer* first = First(aGroup, aObject, aWeight)) {
    aHolders.push_back(*first);
  }
}

template<typename Accept>
Group Those(const Group& aServers, Accept aAccept)
{
  Group group;
  std::ranges::copy_if(aServers, std::back_inserter(group), aAccept);
  return group;
}

double BySlots(const PlacedServer& aServer)
{
  return aServer.mSlots;
}

bool IsFar(const PlacedServer& aServer)
{
  return aServer.mReach == Reach::Elsewhere;
}

// The servers among which an object's home is chosen.
Group HomeGroup(const Group& aServers)
{
  Group own = Those(
    aServers, [](const PlacedServer& aServer) { return aServer.mReach == Reach::Own; });
  if (own.size() >= kFewestForOwnCopy) {
    return own;
  }
  return Those(aServers, std::not_fn(IsFar));
}

// Servers of the region's other data centres that keep copies of their own.
Group CopyGroup(const Group& aServers)
{
  std::map<base::DataCentreId, std::size_t> counts;
  for (const PlacedServer& server : aServers) {
    ++counts[server.mDataCentre];
  }
  return Those(aServers, [&](const PlacedServer& aServer) {
    return aServer.mReach == Reach::OwnRegion &&
           counts[aServer.mDataCentre] >= kFewestForOwnCopy;
  });
}

} // namespace

RegionRoom::RegionRoom(const std::vector<PlacedServer>& aServers,
                       const BoundParts& aBound)
{
  double all = 0;
  for (const PlacedServer& server : aServers) {
    Region& region = mRegions[server.mRegion];
    region.mSlots += server.mSlots;
    region.mOwn = region.mOwn || !IsFar(server);
    all += server.mSlots;
  }
  for (auto& [id, region] : mRegions) {
    region.mFree = std::max(0.0, region.mSlots - aBound.Of(id) * all);
  }
  mNeed = (1 - aBound.Sum()) * all / double(std::max<std::size_t>(1, mRegions.size()));
}

double RegionRoom::HomePart() const
{
  if (mRegions.empty() || mNeed <= 0) {
    return 1;
  }
  double own = 0;
  for (const auto& [id, region] : mRegions) {
    own += region.mOwn ? region.mFree : 0;
  }
  return std::min(1.0, own / mNeed);
}

double RegionRoom::Spare(const PlacedServer& aServer) const
{
  const Region& region = mRegions.at(aServer.mRegion);
  double spare = (region.mFree - kOwnNeed * mNeed) / region.mSlots;
  return aServer.mSlots * std::max(kLeastSpare, spare);
}

std::vector<PlacedServer> HoldersOf(std::uint64_t aObject,
                                    const std::vector<PlacedServer>& aServers,
                                    const RegionRoom& aRoom)
{
  Group home = HomeGroup(aServers);
  bool ownCopy = std::ranges::all_of(
    home, [](const PlacedServer& aServer) { return aServer.mReach == Reach::Own; });
  Group far = Those(aServers, IsFar);
  Group holders;
  AddFirst(holders, home, aObject, BySlots);
  if (ownCopy) {
    AddFirst(holders, CopyGroup(aServers), aObject, BySlots);
  }
  AddFirst(holders, far, aObject, [&](const PlacedServer& aServer) {
    return aRoom.Spare(aServer);
  });
  if (holders.size() < kFewestHolders) {
    AddFirst(holders, home, aObject, BySlots);
  }
  if (Draw(aObject, kHomePartSalt) >= aRoom.HomePart()) {
    std::stable_partition(holders.begin(), holders.end(), IsFar);
  }
  std::stable_partition(holders.begin(), holders.end(), [](const PlacedServer& aServer) {
    return !aServer.mDoubtful;
  });
  return holders;
}

} // namespace vanillaloft::decide
