#include "decide/rank.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

#include <xxhash.h>

#include "decide/uniform.h"

namespace vanillaloft::decide {

namespace {

// A data centre with fewer servers divides its objects with the region's other data
// centres, since one server alone cannot keep all objects in memory.
constexpr std::size_t kMinServersForOwnCopy = 2;
// Minimum of candidates for an object, if its region has as many servers.
constexpr std::size_t kMinCandidates = 2;
// Makes the hash for the home fraction independent of those for servers.
constexpr std::uint64_t kHomeFractionSalt = 0x686f6d65;

using Group = std::vector<EligibleServer>;

// Hash of the pair, uniform in (0, 1).
double HashOfPair(std::uint64_t aObject, std::uint64_t aServer)
{
  return UniformHash(XXH3_64bits_withSeed(&aServer, sizeof aServer, aObject));
}

// Weighted rendezvous hashing: the probability that a server has the highest score is
// proportional to its weight. Suspect servers come after all others.
template<typename Weight>
const EligibleServer* HighestScored(const Group& aGroup,
                                    std::uint64_t aObject,
                                    Weight aWeight)
{
  const EligibleServer* best = nullptr;
  double bestScore = 0;
  for (const EligibleServer& server : aGroup) {
    double score = -aWeight(server) / std::log(HashOfPair(aObject, server.mKey));
    bool better = !best || (best->mSuspect && !server.mSuspect) ||
                  (best->mSuspect == server.mSuspect && score > bestScore);
    if (better) {
      best = &server;
      bestScore = score;
    }
  }
  return best;
}

// Adds the server of a group with the highest score that is not yet a candidate.
template<typename Weight>
void AddHighestScored(Group& aCandidates,
                      Group aGroup,
                      std::uint64_t aObject,
                      Weight aWeight)
{
  std::erase_if(aGroup, [&](const EligibleServer& aServer) {
    return std::ranges::find(aCandidates, aServer.mIndex, &EligibleServer::mIndex) !=
           aCandidates.end();
  });
  if (const EligibleServer* first = HighestScored(aGroup, aObject, aWeight)) {
    aCandidates.push_back(*first);
  }
}

template<typename Accept>
Group Filter(const Group& aServers, Accept aAccept)
{
  Group group;
  std::ranges::copy_if(aServers, std::back_inserter(group), aAccept);
  return group;
}

double SlotCount(const EligibleServer& aServer)
{
  return aServer.mSlots;
}

bool IsInOtherRegion(const EligibleServer& aServer)
{
  return aServer.mLocality == Locality::OtherRegion;
}

// The servers from which an object's home server is chosen.
Group HomeServers(const Group& aServers)
{
  Group own = Filter(aServers, [](const EligibleServer& aServer) {
    return aServer.mLocality == Locality::OwnDataCentre;
  });
  if (own.size() >= kMinServersForOwnCopy) {
    return own;
  }
  return Filter(aServers, std::not_fn(IsInOtherRegion));
}

// Servers of the region's other data centres that have enough servers for their own copy.
Group CopyServers(const Group& aServers)
{
  std::map<base::DataCentreId, std::size_t> counts;
  for (const EligibleServer& server : aServers) {
    ++counts[server.mDataCentre];
  }
  return Filter(aServers, [&](const EligibleServer& aServer) {
    return aServer.mLocality == Locality::OwnRegion &&
           counts[aServer.mDataCentre] >= kMinServersForOwnCopy;
  });
}

} // namespace

std::vector<EligibleServer> RankCandidates(std::uint64_t aObject,
                                           const std::vector<EligibleServer>& aServers,
                                           const RegionCapacity& aCapacity)
{
  Group home = HomeServers(aServers);
  bool hasOwnCopy = std::ranges::all_of(home, [](const EligibleServer& aServer) {
    return aServer.mLocality == Locality::OwnDataCentre;
  });
  Group far = Filter(aServers, IsInOtherRegion);
  Group candidates;
  AddHighestScored(candidates, home, aObject, SlotCount);
  if (hasOwnCopy) {
    AddHighestScored(candidates, CopyServers(aServers), aObject, SlotCount);
  }
  AddHighestScored(candidates, far, aObject, [&](const EligibleServer& aServer) {
    return aCapacity.SpareSlots(aServer);
  });
  if (candidates.size() < kMinCandidates) {
    AddHighestScored(candidates, home, aObject, SlotCount);
  }
  if (HashOfPair(aObject, kHomeFractionSalt) >= aCapacity.HomeFraction()) {
    std::stable_partition(candidates.begin(), candidates.end(), IsInOtherRegion);
  }
  std::stable_partition(candidates.begin(),
                        candidates.end(),
                        [](const EligibleServer& aServer) { return !aServer.mSuspect; });
  return candidates;
}

} // namespace vanillaloft::decide
