// Membership of the fleet as one entry instance observes it: which other instances are
// alive, in which data centre, with which revision and how many free slots. This is
// learnt from heartbeats; the platform's list of instances lags, so it only adds
// addresses to try and never proves that an instance has ended.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "decide/config.h"
#include "decide/watcher.h"

namespace vanillaloft::decide {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
constexpr Duration kMemberTimeout = std::chrono::milliseconds(1500);
// A process whose event loop did not run for longer than this was frozen, so
// everything it knew may be out of date.
constexpr Duration kFreezeLimit = std::chrono::seconds(1);

// Age of the store's confirmation of the configuration at which an instance asks the
// store for another one. The first instance of a data centre asks after the shorter time,
// and its heartbeats carry the confirmation to the others; these ask for themselves after
// the longer time if no confirmation arrives.
constexpr Duration kMaxConfirmAge = std::chrono::milliseconds(1000);
constexpr Duration kMaxConfirmAgeFallback = std::chrono::milliseconds(2500);
// In a data centre whose watcher's copy of the store confirms the configuration.
constexpr Duration kMaxSharedConfirmAge = std::chrono::milliseconds(2500);

// The status of an instance, as sent in each of its heartbeats.
struct MemberStatus
{
  Incarnation mSelf;
  std::string mDataCentre;
  std::string mEntryAddress; // "ip:port" for callers
  unsigned mWeight = 1;      // capacity relative to other instances
  // Digest of the addresses that the instance knows; 0 if unknown.
  std::uint64_t mAddressDigest = 0;
  bool mReady = false;
  bool mLeaving = false;
  bool mHoldsShares = false;  // other instances may ask it for tokens
  bool mHasStorePath = false; // the store answers its own calls
  Revision mRevision = 0;
  std::string mDigest;
  Duration mConfirmedAge = Duration::max();     // since the store confirmed the revision
  std::map<std::string, unsigned> mFreeSlots;   // by service, for its own data centre
  std::map<std::string, unsigned> mRemoteSlots; // by service, for other data centres
};

// Address of an instance; the data centre is empty if it is not known.
struct KnownAddress
{
  std::string mAddress;
  std::string mDataCentre;
};

struct Member
{
  MemberStatus mStatus;
  Instant mReceivedAt{};
};

class Members
{
public:
  Members(std::string aSelfAddress,
          std::string aDataCentre,
          Duration aTimeout = kMemberTimeout);

  // Adds an address to send heartbeats to. It becomes a member when its status arrives.
  void AddAddress(const std::string& aAddress, const std::string& aDataCentre);
  // Records a status that arrived at aNow. Returns true if the member was not alive
  // before or is a new incarnation.
  bool RecordStatus(const MemberStatus& aStatus, Instant aNow);
  // Removes a member that stopped as planned.
  void Remove(const std::string& aAddress);

  const Member* Find(const std::string& aAddress) const;
  bool Alive(const std::string& aAddress, Instant aNow) const;
  // True if the member is known but sent no status within the timeout.
  bool TimedOut(const std::string& aAddress, Instant aNow) const
  {
    return Find(aAddress) && !Alive(aAddress, aNow);
  }
  // Appends the alive members that hold shares to a list of addresses to ask for tokens,
  // those of this data centre first. An instance that cannot read the store finds them
  // this way, too.
  void AddShareHolders(std::vector<std::string>& aAddresses, Instant aNow) const;
  // True if an alive member holds shares.
  bool HasShareHolder(Instant aNow) const;
  // Number of alive members other than this one.
  std::size_t AliveCount(Instant aNow) const;
  // Number of alive members whose address comes before that of this one.
  std::size_t AliveBefore(Instant aNow) const;
  // Alive members other than this one, in order of address.
  std::vector<const Member*> AliveMembers(Instant aNow) const;
  // Addresses that get heartbeats: in a small fleet all, otherwise all of the own data
  // centre and some in the data centres at distances 1, 2, 4, ... in the ring of data
  // centres. So the number of heartbeats per instance grows with the size of its data
  // centre and the logarithm of the number of data centres.
  std::vector<std::string> HeartbeatTargets() const;
  // True if an alive member is known in each data centre that has any known address.
  bool EveryDataCentreAlive(Instant aNow) const;
  // Alive instances of this data centre that stay, other than this one.
  std::vector<WatcherCandidate> WatcherCandidates(Instant aNow) const;
  // True if no alive instance of this data centre that stays has a lower address.
  bool IsFirstInDataCentre(Instant aNow) const;
  // The age of the store's confirmation at which this instance asks for another one.
  Duration MaxConfirmAge(Instant aNow) const
  {
    return IsFirstInDataCentre(aNow) ? kMaxConfirmAge : kMaxConfirmAgeFallback;
  }
  // The address of the instance that owns a backend server of this data centre, chosen by
  // rendezvous hashing among the alive instances; those that stay come before those that
  // leave.
  std::string OwnerOf(const std::string& aBackendServer,
                      bool aSelfLeaving,
                      Instant aNow) const;

  bool OwnsBackendServer(const std::string& aName, bool aSelfLeaving, Instant aNow) const
  {
    return OwnerOf(aName, aSelfLeaving, aNow) == mSelfAddress;
  }

  const std::map<std::string, std::string>& Addresses() const { return mAddresses; }
  // Digest of all known addresses, this instance's included. Two instances that know the
  // same addresses have the same digest.
  std::uint64_t AddressDigest() const { return mAddressDigest; }
  // The known addresses that follow aAfter in a circle, at most aMost.
  std::vector<KnownAddress> AddressesAfter(const std::string& aAfter,
                                           std::size_t aMost) const;

private:
  bool IsAlive(const Member& aMember, Instant aNow) const
  {
    return aNow - aMember.mReceivedAt < mTimeout;
  }
  void PutAddress(const std::string& aAddress, const std::string& aDataCentre);
  std::vector<std::string> RingTargets() const;

  std::string mSelfAddress;
  std::string mDataCentre;
  Duration mTimeout;
  std::map<std::string, std::string>
    mAddresses;                           // address -> data centre, without this one
  std::map<std::string, Member> mMembers; // by address
  std::uint64_t mAddressDigest = 0;
};

} // namespace vanillaloft::decide
