#include "decide/member.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace vanillaloft::decide {

namespace {

// Number of instances of another data centre that get heartbeats from one instance.
constexpr std::size_t kContactsPerDataCentre = 2;
// Up to this many other instances, each sends heartbeats to all of them.
constexpr std::size_t kMaxFullMeshSize = 32;

std::uint64_t RendezvousScore(const std::string& aBackendServer,
                              const std::string& aAddress)
{
  std::string both = aBackendServer + '|' + aAddress;
  return XXH64(both.data(), both.size(), 0);
}

std::uint64_t DigestOf(const std::string& aAddress, const std::string& aDataCentre)
{
  std::string both = aAddress + '@' + aDataCentre;
  return XXH64(both.data(), both.size(), 0);
}

} // namespace

Members::Members(std::string aSelfAddress, std::string aDataCentre, Duration aTimeout)
  : mSelfAddress(std::move(aSelfAddress))
  , mDataCentre(std::move(aDataCentre))
  , mTimeout(aTimeout)
  , mAddressDigest(DigestOf(mSelfAddress, mDataCentre))
{
}

void Members::AddAddress(const std::string& aAddress, const std::string& aDataCentre)
{
  auto known = mAddresses.find(aAddress);
  bool adds = known == mAddresses.end() || known->second.empty();
  if (aAddress != mSelfAddress && adds) {
    PutAddress(aAddress, aDataCentre);
  }
}

// The digest is the exclusive or of the entries' digests, so that it does not depend on
// the order in which they became known.
void Members::PutAddress(const std::string& aAddress, const std::string& aDataCentre)
{
  auto [known, added] = mAddresses.try_emplace(aAddress, aDataCentre);
  if (!added && known->second == aDataCentre) {
    return;
  }
  if (!added) {
    mAddressDigest ^= DigestOf(aAddress, known->second);
    known->second = aDataCentre;
  }
  mAddressDigest ^= DigestOf(aAddress, aDataCentre);
}

std::vector<KnownAddress> Members::AddressesAfter(const std::string& aAfter,
                                                  std::size_t aMost) const
{
  std::vector<KnownAddress> addresses;
  auto next = mAddresses.upper_bound(aAfter);
  for (std::size_t i = 0; i < std::min(aMost, mAddresses.size()); ++i, ++next) {
    if (next == mAddresses.end()) {
      next = mAddresses.begin();
    }
    addresses.push_back({ next->first, next->second });
  }
  return addresses;
}

bool Members::RecordStatus(const MemberStatus& aStatus, Instant aNow)
{
  const std::string& address = aStatus.mSelf.mAddress;
  if (address == mSelfAddress) {
    return false;
  }
  PutAddress(address, aStatus.mDataCentre);
  bool changed =
    !Alive(address, aNow) || mMembers[address].mStatus.mSelf != aStatus.mSelf;
  mMembers[address] = { aStatus, aNow };
  return changed;
}

void Members::Remove(const std::string& aAddress)
{
  mMembers.erase(aAddress);
}

const Member* Members::Find(const std::string& aAddress) const
{
  auto found = mMembers.find(aAddress);
  return found == mMembers.end() ? nullptr : &found->second;
}

bool Members::Alive(const std::string& aAddress, Instant aNow) const
{
  const Member* member = Find(aAddress);
  return member && IsAlive(*member, aNow);
}

bool Members::HasShareHolder(Instant aNow) const
{
  return std::ranges::any_of(mMembers, [&](const auto& aEntry) {
    const Member& member = aEntry.second;
    return member.mStatus.mHoldsShares && IsAlive(member, aNow);
  });
}

std::size_t Members::AliveCount(Instant aNow) const
{
  auto count = std::ranges::count_if(
    mMembers, [&](const auto& aEntry) { return IsAlive(aEntry.second, aNow); });
  return static_cast<std::size_t>(count);
}

std::size_t Members::AliveBefore(Instant aNow) const
{
  auto count = std::ranges::count_if(mMembers, [&](const auto& aEntry) {
    return aEntry.first < mSelfAddress && IsAlive(aEntry.second, aNow);
  });
  return static_cast<std::size_t>(count);
}

std::vector<const Member*> Members::AliveMembers(Instant aNow) const
{
  std::vector<const Member*> alive;
  for (const auto& [address, member] : mMembers) {
    if (IsAlive(member, aNow)) {
      alive.push_back(&member);
    }
  }
  return alive;
}

void Members::AddShareHolders(std::vector<std::string>& aAddresses, Instant aNow) const
{
  for (bool here : { true, false }) {
    for (const Member* member : AliveMembers(aNow)) {
      const MemberStatus& status = member->mStatus;
      const std::string& address = status.mSelf.mAddress;
      bool wanted = status.mHoldsShares && (status.mDataCentre == mDataCentre) == here;
      if (wanted && std::ranges::find(aAddresses, address) == aAddresses.end()) {
        aAddresses.push_back(address);
      }
    }
  }
}

std::vector<std::string> Members::HeartbeatTargets() const
{
  std::vector<std::string> all;
  for (const auto& [address, dataCentre] : mAddresses) {
    all.push_back(address);
  }
  return all.size() <= kMaxFullMeshSize ? all : RingTargets();
}

std::vector<std::string> Members::RingTargets() const
{
  std::map<std::string, std::vector<std::string>> byCentre;
  byCentre[mDataCentre];
  for (const auto& [address, dataCentre] : mAddresses) {
    byCentre[dataCentre].push_back(address);
  }
  std::vector<std::string> ring;
  for (const auto& [dataCentre, addresses] : byCentre) {
    ring.push_back(dataCentre);
  }
  auto self =
    static_cast<std::size_t>(std::ranges::find(ring, mDataCentre) - ring.begin());
  std::vector<std::string> neighbours = byCentre[mDataCentre];
  for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
    const auto& contacts = byCentre[ring[(self + distance) % ring.size()]];
    std::size_t first =
      contacts.empty() ? 0 : RendezvousScore(mSelfAddress, "") % contacts.size();
    for (std::size_t i = 0; i < std::min(kContactsPerDataCentre, contacts.size()); ++i) {
      neighbours.push_back(contacts[(first + i) % contacts.size()]);
    }
  }
  return neighbours;
}

bool Members::EveryDataCentreAlive(Instant aNow) const
{
  std::set<std::string> known;
  std::set<std::string> alive{ mDataCentre };
  for (const auto& [address, dataCentre] : mAddresses) {
    known.insert(dataCentre);
    if (Alive(address, aNow)) {
      alive.insert(dataCentre);
    }
  }
  return std::ranges::includes(alive, known);
}

std::vector<WatcherCandidate> Members::WatcherCandidates(Instant aNow) const
{
  std::vector<WatcherCandidate> candidates;
  for (const Member* member : AliveMembers(aNow)) {
    const MemberStatus& status = member->mStatus;
    if (status.mDataCentre == mDataCentre && !status.mLeaving) {
      candidates.push_back({ status.mSelf.mAddress, status.mHasStorePath });
    }
  }
  return candidates;
}

bool Members::IsFirstInDataCentre(Instant aNow) const
{
  return std::ranges::none_of(
    WatcherCandidates(aNow),
    [&](const WatcherCandidate& aOther) { return aOther.mAddress < mSelfAddress; });
}

// A leaving instance owns a backend server only if no other ready instance of the data
// centre can, because otherwise the server would have no owner.
std::string Members::OwnerOf(const std::string& aBackendServer,
                             bool aSelfLeaving,
                             Instant aNow) const
{
  std::string owner = mSelfAddress;
  std::pair best(!aSelfLeaving, RendezvousScore(aBackendServer, mSelfAddress));
  for (const Member* member : AliveMembers(aNow)) {
    const MemberStatus& status = member->mStatus;
    if (status.mDataCentre != mDataCentre || !status.mReady) {
      continue;
    }
    std::pair rank(!status.mLeaving,
                   RendezvousScore(aBackendServer, status.mSelf.mAddress));
    if (rank > best) {
      owner = status.mSelf.mAddress;
      best = rank;
    }
  }
  return owner;
}

} // namespace vanillaloft::decide
