// What an entry instance knows about the others: who is alive, in which data centre, with
// which revision and how many free slots. Learnt from heartbeats; the platform's lagging
// list only adds addresses to try and is never proof of death.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "decide/config.h"

namespace vanillaloft::decide {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
constexpr Duration kMemberTimeout = std::chrono::milliseconds(1500);
// A process whose own loop stood still for longer was frozen: it can trust nothing it
// knew.
constexpr Duration kFreezeLimit = std::chrono::seconds(1);

// How old the store's confirmation of the configuration may become before an instance
// asks the store: the first of a data centre, whose heartbeats carry the confirmation to
// the others, and those others, if it stays away.
constexpr Duration kMaxConfirmAge = std::chrono::milliseconds(1000);
constexpr Duration kMaxConfirmAgeFallback = std::chrono::milliseconds(2500);

// What an instance says about itself in each heartbeat.
struct MemberStatus
{
  Incarnation mSelf;
  std::string mDataCentre;
  std::string mEntryAddress; // "ip:port" for callers
  bool mReady = false;
  bool mLeaving = false;
  bool mHoldsShares = false; // can be asked for tokens
  Revision mRevision = 0;
  std::string mDigest;
  Duration mConfirmedAge = Duration::max();     // since the store confirmed the revision
  std::map<std::string, unsigned> mFreeSlots;   // by service, for its data centre
  std::map<std::string, unsigned> mRemoteSlots; // by service, for other data centres
};

struct Member
{
  MemberStatus mStatus;
  Instant mHeard{};
};

class Members
{
public:
  Members(std::string aSelfAddress,
          std::string aDataCentre,
          Duration aTimeout = kMemberTimeout)
    : mSelfAddress(std::move(aSelfAddress))
    , mDataCentre(std::move(aDataCentre))
    , mTimeout(aTimeout)
  {
  }

  // Adds an address to send heartbeats to. Nothing is known about it until it answers.
  void AddAddress(const std::string& aAddress, const std::string& aDataCentre);
  // Takes note of a status; aNow is the time at which it arrived. True if the member was
  // not alive before or is a new incarnation.
  bool RecordStatus(const MemberStatus& aStatus, Instant aNow);
  // A member that stopped as planned.
  void Remove(const std::string& aAddress);

  const Member* Find(const std::string& aAddress) const;
  bool Alive(const std::string& aAddress, Instant aNow) const;
  // True if the member was heard before and is not any more.
  bool TimedOut(const std::string& aAddress, Instant aNow) const
  {
    return Find(aAddress) && !Alive(aAddress, aNow);
  }
  // Adds the living members that hold shares to a list of addresses to ask for tokens,
  // those of this data centre first. So an instance that cannot read the store finds
  // them, too.
  void AddShareHolders(std::vector<std::string>& aAddresses, Instant aNow) const;
  // Living members other than this one, in order of address.
  std::vector<const Member*> AliveMembers(Instant aNow) const;
  // Addresses that get heartbeats: all of the own data centre, and of the others the
  // members at distances 1, 2, 4, ... in the ring of data centres. So an instance's
  // heartbeats grow with its data centre and the logarithm of the number of data centres.
  std::vector<std::string> HeartbeatTargets() const;
  // True if an alive member is known in each data centre that has any known address.
  bool EveryDataCentreAlive(Instant aNow) const;
  // The alive instance of this data centre with the lowest address, leaving ones last.
  bool IsFirstInDataCentre(Instant aNow) const;
  // The age of the store's confirmation at which this instance asks for another.
  Duration MaxConfirmAge(Instant aNow) const
  {
    return IsFirstInDataCentre(aNow) ? kMaxConfirmAge : kMaxConfirmAgeFallback;
  }
  // The instance that owns a backend server of this data centre: rendezvous hashing over
  // the living instances, those that stay before those that leave.
  std::string OwnerOf(const std::string& aBackendServer,
                      bool aSelfLeaving,
                      Instant aNow) const;

  bool OwnsBackendServer(const std::string& aName, bool aSelfLeaving, Instant aNow) const
  {
    return OwnerOf(aName, aSelfLeaving, aNow) == mSelfAddress;
  }

  const std::map<std::string, std::string>& Addresses() const { return mAddresses; }

private:
  std::vector<std::string> RingNeighbours() const;

  std::string mSelfAddress;
  std::string mDataCentre;
  Duration mTimeout;
  std::map<std::string, std::string>
    mAddresses;                           // address -> data centre, without this one
  std::map<std::string, Member> mMembers; // by address
};

} // namespace vanillaloft::decide
