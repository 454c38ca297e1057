#include "decide/steer.h"

#include <algorithm>
#include <array>

namespace vanillaloft::decide {

namespace {

constexpr unsigned kPercent = 100;

} // namespace

std::string_view Name(ServerState aState)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "unknown", "serving", "draining", "down"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

void Steer::SetConfig(ConfigPtr aConfig, Instant aNow)
{
  std::vector<ServerViewPtr> views(aConfig->mBackendServers.size());
  for (std::size_t i = 0; mConfig && i < mConfig->mBackendServers.size(); ++i) {
    const std::string& name = mConfig->mBackendServers[i].mName;
    auto kept = std::ranges::find(aConfig->mBackendServers, name, &BackendServer::mName);
    if (kept != aConfig->mBackendServers.end()) {
      views[static_cast<std::size_t>(kept - aConfig->mBackendServers.begin())] =
        mViews[i];
    }
  }
  for (ServerViewPtr& view : views) {
    view = view ? view : std::make_shared<ServerView>();
  }
  mViews = std::move(views);
  mConfig = std::move(aConfig);
  mShiftCredit.assign(mConfig->mShifts.size(), 0);
  mOwn = mConfig->FindDataCentre(mDataCentre);
  mBeat = aNow;
}

void Steer::Beat(const Members& aMembers, bool aLeaving, Instant aNow)
{
  bool frozen = Frozen(aNow);
  mBeat = aNow;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    const BackendServer& server = mConfig->mBackendServers[i];
    ServerView& view = *mViews[i];
    bool here = server.mDataCentre == mOwn;
    bool owned = here && aMembers.OwnsBackendServer(server.mName, aLeaving, aNow);
    if (owned && (!view.mOwned || frozen)) {
      view.mOwnedSince = aNow;
    }
    view.mOwned = owned;
    while (!view.mAbandonedUntil.empty() && view.mAbandonedUntil.front() <= aNow) {
      view.mAbandonedUntil.pop_front();
      view.mInFlight -= 1;
    }
  }
}

void Steer::Report(BackendServerId aServer, ServerState aState, Instant aNow)
{
  ServerView& view = *mViews[aServer.Value()];
  if (aState == ServerState::Serving && view.mState != ServerState::Serving) {
    view.mServingSince = aNow;
  }
  view.mState = aState;
}

bool Steer::Takes(std::size_t aServer, Instant aNow) const
{
  const ServerView& view = *mViews[aServer];
  return view.mOwned && view.mState == ServerState::Serving &&
         !mConfig->mBackendServers[aServer].mDrained &&
         aNow - view.mOwnedSince >= kHandOver && aNow >= view.mPausedUntil;
}

// A cold server's capacity grows from one slot to all within the profile's ramp.
unsigned Steer::Capacity(std::size_t aServer, Instant aNow) const
{
  const BackendServer& server = mConfig->mBackendServers[aServer];
  Duration ramp = mConfig->ProfileOf(server.mService).mWarmUpTime;
  Duration warm = aNow - mViews[aServer]->mServingSince;
  if (warm >= ramp) {
    return server.mSlots;
  }
  auto part = static_cast<unsigned>(server.mSlots * warm.count() / ramp.count());
  return std::max(1U, part);
}

unsigned Steer::UsableSlots(ServiceId aService, Instant aNow) const
{
  unsigned sum = 0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService == aService && Takes(i, aNow)) {
      sum += Capacity(i, aNow);
    }
  }
  return sum;
}

// Requests of other data centres may fill only their part of the slots, so spilled
// traffic never takes what this data centre's own callers need.
unsigned Steer::RemoteRoom(ServiceId aService, Instant aNow) const
{
  unsigned inFlight = 0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService == aService) {
      inFlight += mViews[i]->mRemoteInFlight;
    }
  }
  unsigned most =
    UsableSlots(aService, aNow) * mConfig->ProfileOf(aService).mSpillPercent / kPercent;
  return most > inFlight ? most - inFlight : 0;
}

std::optional<Slot> Steer::Acquire(ServiceId aService, Origin aOrigin, Instant aNow)
{
  if (!mConfig || Frozen(aNow)) {
    return std::nullopt;
  }
  if (aOrigin == Origin::Remote && RemoteRoom(aService, aNow) == 0) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  double bestLoad = 1.0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService != aService || !Takes(i, aNow)) {
      continue;
    }
    double load = double(mViews[i]->mInFlight) / Capacity(i, aNow);
    if (load < bestLoad) {
      best = i;
      bestLoad = load;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  const BackendServer& server = mConfig->mBackendServers[*best];
  Slot slot{ mViews[*best], server.mName, { server.mHost, server.mPort }, aOrigin };
  slot.mView->mInFlight += 1;
  slot.mView->mRemoteInFlight += aOrigin == Origin::Remote ? 1 : 0;
  return slot;
}

void Steer::Release(const Slot& aSlot, Ending aEnding, Instant aNow)
{
  ServerView& view = *aSlot.mView;
  if (aEnding == Ending::Abandoned) {
    view.mAbandonedUntil.push_back(aNow + kAbandonedHold);
  } else {
    view.mInFlight -= 1;
  }
  view.mRemoteInFlight -= aSlot.mOrigin == Origin::Remote ? 1 : 0;
  if (aEnding != Ending::Answered) {
    view.mPausedUntil = std::max(view.mPausedUntil, aNow + kShedPause);
  }
}

unsigned Steer::FreeSlots(ServiceId aService, Origin aOrigin, Instant aNow) const
{
  if (!mConfig || Frozen(aNow)) {
    return 0;
  }
  unsigned sum = 0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService == aService && Takes(i, aNow)) {
      unsigned capacity = Capacity(i, aNow);
      sum += capacity > mViews[i]->mInFlight ? capacity - mViews[i]->mInFlight : 0;
    }
  }
  return aOrigin == Origin::Remote ? std::min(sum, RemoteRoom(aService, aNow)) : sum;
}

std::map<std::string, unsigned> Steer::FreeSlotsByService(Origin aOrigin,
                                                          Instant aNow) const
{
  std::map<std::string, unsigned> slots;
  for (std::size_t i = 0; mConfig && i < mConfig->mServices.size(); ++i) {
    slots[mConfig->mServices[i].mName] = FreeSlots(ServiceId(i), aOrigin, aNow);
  }
  return slots;
}

// The part to be moved is counted out exactly: each request earns the shift's percentage
// and a whole hundred moves one. Credit that could not be used is not saved up, so no
// window moves more than its percentage and one request.
std::optional<DataCentreId> Steer::DrawShift(ServiceId aService)
{
  for (std::size_t i = 0; i < mConfig->mShifts.size(); ++i) {
    const Shift& shift = mConfig->mShifts[i];
    if (shift.mService != aService || shift.mFrom != mOwn) {
      continue;
    }
    mShiftCredit[i] += shift.mPercent;
    if (mShiftCredit[i] >= kPercent) {
      mShiftCredit[i] -= kPercent;
      return shift.mTo;
    }
  }
  return std::nullopt;
}

std::vector<std::string> Steer::InstancesOf(DataCentreId aDataCentre,
                                            ServiceId aService,
                                            const Members& aMembers,
                                            Instant aNow) const
{
  struct Candidate
  {
    unsigned mFree;
    std::string mAddress;
  };
  const std::string& service = mConfig->mServices[aService.Value()].mName;
  const std::string& dataCentre = mConfig->mDataCentres[aDataCentre.Value()].mName;
  std::vector<Candidate> candidates;
  for (const Member* member : aMembers.Living(aNow)) {
    const MemberStatus& status = member->mStatus;
    const auto& offered = aDataCentre == mOwn ? status.mFreeSlots : status.mRemoteSlots;
    auto slots = offered.find(service);
    bool free = slots != offered.end() && slots->second > 0;
    if (status.mDataCentre == dataCentre && status.mReady && free) {
      candidates.push_back({ slots->second, status.mSelf.mAddress });
    }
  }
  std::ranges::sort(candidates, std::ranges::greater(), &Candidate::mFree);
  std::vector<std::string> addresses;
  for (const Candidate& candidate : candidates) {
    addresses.push_back(candidate.mAddress);
  }
  return addresses;
}

std::vector<std::string> Steer::Elsewhere(ServiceId aService,
                                          const Members& aMembers,
                                          Instant aNow)
{
  std::vector<std::string> addresses;
  if (mOwn.IsNone()) {
    return addresses;
  }
  auto append = [&](DataCentreId aDataCentre) {
    auto more = InstancesOf(aDataCentre, aService, aMembers, aNow);
    addresses.insert(addresses.end(), more.begin(), more.end());
  };
  append(mOwn);
  RegionId region = mConfig->mDataCentres[mOwn.Value()].mRegion;
  for (bool sameRegion : { true, false }) {
    for (std::size_t i = 0; i < mConfig->mDataCentres.size(); ++i) {
      const DataCentre& other = mConfig->mDataCentres[i];
      bool wanted = (other.mRegion == region) == sameRegion;
      if (wanted && DataCentreId(i) != mOwn && !other.mDrained) {
        append(DataCentreId(i));
      }
    }
  }
  return addresses;
}

} // namespace vanillaloft::decide
