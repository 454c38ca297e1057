// Choice of the backend server and the data centre for a request. Only the instance that
// owns a backend server sends to it, so its own count of the requests in flight is exact
// even if load reports lag or are wrong.
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

// A new owner waits this long before it sends, so that the former owner has learnt of the
// change and its requests have ended.
constexpr Duration kHandOverDelay = std::chrono::seconds(2);
// After an attempt that does not end as Answered, the backend server gets no requests for
// this long: it shed the request, could not be reached or did not respond in time, or
// nothing was sent.
constexpr Duration kShedPause = std::chrono::milliseconds(100);
// An abandoned request occupies its slot for this long, because the server may still be
// processing it.
constexpr Duration kAbandonedSlotHold = std::chrono::seconds(5);

enum class ServerState : std::uint8_t
{
  Unknown,
  Serving,
  Draining,
  Down
};

std::string_view Name(ServerState aState);

// The data centre that a request for a backend server came from.
enum class Origin : std::uint8_t
{
  Local, // this data centre
  Remote // another data centre
};

// How an attempt to send a request to a backend server ended.
enum class AttemptOutcome : std::uint8_t
{
  Answered,  // the server has finished the request
  Shed,      // the server replied that the request did not run
  NotSent,   // nothing was sent
  Abandoned, // no response in time; the server may still be processing it
};

// State of one backend server, as recorded by its owner.
struct ServerView
{
  ServerState mState = ServerState::Unknown;
  bool mOwned = false;
  Instant mOwnedSince{};
  Instant mServingSince{};
  Instant mPausedUntil{};
  unsigned mInFlight = 0;
  unsigned mRemoteInFlight = 0;
  std::deque<Instant> mAbandonedUntil; // release times of abandoned slots, ascending
};

using ServerViewPtr = std::shared_ptr<ServerView>;

// An acquired slot. It stays valid if the configuration changes.
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

  // Applies a configuration. Backend servers that remain, by name, keep their state.
  void SetConfig(ConfigPtr aConfig, Instant aNow);

  // Updates the ownership of the backend servers and frees the slots of abandoned
  // requests. The event loop calls it periodically. After a freeze of the process the
  // hand-over delay starts again for all owned servers.
  void UpdateOwnership(const Members& aMembers, bool aLeaving, Instant aNow);

  // Records a backend server's state, from any source.
  void Report(BackendServerId aServer, ServerState aState, Instant aNow);

  // Takes a slot of the owned backend server with the lowest relative load. Returns
  // nullopt if none has a free slot.
  std::optional<Slot> Acquire(ServiceId aService, Origin aOrigin, Instant aNow);
  // Releases a slot.
  static void Release(const Slot& aSlot, AttemptOutcome aAttemptOutcome, Instant aNow);

  // Number of slots that can be acquired now.
  unsigned FreeSlots(ServiceId aService, Origin aOrigin, Instant aNow) const;
  // Capacity of the service's owned servers that accept requests, in slots.
  unsigned UsableSlots(ServiceId aService, Instant aNow) const;
  // Free slots by service name, for heartbeats to other instances.
  std::map<std::string, unsigned> FreeSlotsByService(Origin aOrigin, Instant aNow) const;

  // Addresses of instances to forward a request to if this one has no free slot, best
  // first: other instances of the own data centre, then other data centres, those of the
  // same region first. The caller puts the target of a shift first for its part of the
  // requests, see DrawShift.
  std::vector<std::string> ForwardTargets(ServiceId aService,
                                          const Members& aMembers,
                                          Instant aNow);
  // Counts a request against the shifts and returns the target data centre if a shift
  // moves it.
  std::optional<DataCentreId> DrawShift(ServiceId aService);
  // Addresses of a data centre's alive instances with free slots for the service, those
  // with the most free slots first. Empty if the data centre is not configured.
  std::vector<std::string> InstancesOf(DataCentreId aDataCentre,
                                       ServiceId aService,
                                       const Members& aMembers,
                                       Instant aNow) const;

  const std::vector<ServerViewPtr>& Views() const { return mViews; }
  DataCentreId OwnDataCentre() const { return mOwnDataCentre; }

private:
  bool AcceptsRequests(std::size_t aServer, Instant aNow) const;
  unsigned Capacity(std::size_t aServer, Instant aNow) const;
  unsigned FreeRemoteSlots(ServiceId aService, Instant aNow) const;
  bool Frozen(Instant aNow) const { return aNow - mLastUpdate > kFreezeLimit; }

  std::string mDataCentre;
  DataCentreId mOwnDataCentre;
  ConfigPtr mConfig;
  std::vector<ServerViewPtr> mViews;  // by BackendServerId
  std::vector<unsigned> mShiftCredit; // hundredths of a request, by shift
  Instant mLastUpdate{};
};

} // namespace vanillaloft::decide
