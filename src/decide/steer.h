// Choice of the backend server and of the data centre. The instance that owns a backend
// server is the only one that sends to it, so its own count of requests in flight is
// exact whatever lagging or false reports say.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "decide/config.h"
#include "decide/member.h"

namespace vanillaloft::decide {

// A new owner waits this long before it sends, so that the former owner has seen the
// change and its requests have ended.
constexpr Duration kHandOverDelay = std::chrono::seconds(2);
// A backend server that shed gets nothing for this long.
constexpr Duration kShedPause = std::chrono::milliseconds(100);
// An abandoned request keeps its slot for this long, because the server may still work on
// it.
constexpr Duration kAbandonedHold = std::chrono::seconds(5);

enum class ServerState : std::uint8_t
{
  Unknown,
  Serving,
  Draining,
  Down
};

std::string_view Name(ServerState aState);

// Where a request for a backend server came from.
enum class Origin : std::uint8_t
{
  Local, // this data centre's own traffic
  Remote // another data centre's
};

// How a request at a backend server ended.
enum class AttemptOutcome : std::uint8_t
{
  Answered,  // nothing of it is left at the server
  Shed,      // the server said that it did not run
  NotSent,   // nothing was sent
  Abandoned, // no answer in time; the server may still be working on it
};

// State of one backend server, as its owner sees it.
struct ServerView
{
  ServerState mState = ServerState::Unknown;
  bool mOwned = false;
  Instant mOwnedSince{};
  Instant mServingSince{};
  Instant mPausedUntil{};
  unsigned mInFlight = 0;
  unsigned mRemoteInFlight = 0;
  std::deque<Instant> mAbandonedUntil; // slots that return later, in order of time
};

using ServerViewPtr = std::shared_ptr<ServerView>;

// A slot that was taken. It stays valid when the configuration changes meanwhile.
struct Slot
{
  ServerViewPtr mView;
  std::string mServer; // name
  base::HostPort mAddress;
  Origin mOrigin = Origin::Local;
};

class Steering
{
public:
  explicit Steering(std::string aDataCentre)
    : mDataCentre(std::move(aDataCentre))
  {
  }

  // Puts a configuration in force; views of backend servers that stay are kept by name.
  void SetConfig(ConfigPtr aConfig, Instant aNow);

  // Marks the loop as running. Ownership gained before a freeze starts anew.
  void UpdateOwnership(const Members& aMembers, bool aLeaving, Instant aNow);

  // Takes note of a backend server's state, by whatever path it became known.
  void Report(BackendServerId aServer, ServerState aState, Instant aNow);

  // Takes a slot of the owned backend server with the most free capacity.
  std::optional<Slot> Acquire(ServiceId aService, Origin aOrigin, Instant aNow);
  // Gives a slot back.
  static void Release(const Slot& aSlot, AttemptOutcome aEnding, Instant aNow);

  // Slots that may be taken now.
  unsigned FreeSlots(ServiceId aService, Origin aOrigin, Instant aNow) const;
  // Slots of the service's owned servers that take work at all.
  unsigned UsableSlots(ServiceId aService, Instant aNow) const;
  // Free slots by service name, as other instances are told.
  std::map<std::string, unsigned> FreeSlotsByService(Origin aOrigin, Instant aNow) const;

  // The instances that may take a request that this one cannot place, best first: mates
  // of the own data centre, then other data centres, same region first. A shift in force
  // puts its target first for its part of the requests.
  std::vector<std::string> ForwardTargets(ServiceId aService,
                                          const Members& aMembers,
                                          Instant aNow);
  // The target data centre of a shift if this request is to be moved by one.
  std::optional<DataCentreId> DrawShift(ServiceId aService);
  // Living instances of a data centre with free slots for the service, most first.
  std::vector<std::string> InstancesOf(DataCentreId aDataCentre,
                                       ServiceId aService,
                                       const Members& aMembers,
                                       Instant aNow) const;

  const std::vector<ServerViewPtr>& Views() const { return mViews; }
  DataCentreId OwnDataCentre() const { return mOwn; }

private:
  bool Takes(std::size_t aServer, Instant aNow) const;
  unsigned Capacity(std::size_t aServer, Instant aNow) const;
  unsigned RemoteRoom(ServiceId aService, Instant aNow) const;
  bool Frozen(Instant aNow) const { return aNow - mLastUpdate > kFreezeLimit; }

  std::string mDataCentre;
  DataCentreId mOwn;
  ConfigPtr mConfig;
  std::vector<ServerViewPtr> mViews;  // by BackendServerId
  std::vector<unsigned> mShiftCredit; // hundredths of a request, by shift
  Instant mLastUpdate{};
};

} // namespace vanillaloft::decide
