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

void Steering::SetConfig(ConfigPtr aConfig, Instant aNow)
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
  mOwnDataCentre = mConfig->FindDataCentre(mDataCentre);
  mLastUpdate = aNow;
}

void Steering::UpdateOwnership(const Members& aMembers, bool aLeaving, Instant aNow)
{
  bool frozen = Frozen(aNow);
  mLastUpdate = aNow;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    const BackendServer& server = mConfig->mBackendServers[i];
    ServerView& view = *mViews[i];
    bool here = server.mDataCentre == mOwnDataCentre;
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

void Steering::Report(BackendServerId aServer, ServerState aState, Instant aNow)
{
  ServerView& view = *mViews[aServer.Value()];
  if (aState == ServerState::Serving && view.mState != ServerState::Serving) {
    view.mServingSince = aNow;
  }
  view.mState = aState;
}

bool Steering::AcceptsRequests(std::size_t aServer, Instant aNow) const
{
  const ServerView& view = *mViews[aServer];
  return view.mOwned && view.mState == ServerState::Serving &&
         !mConfig->mBackendServers[aServer].mDrained &&
         aNow - view.mOwnedSince >= kHandOverDelay && aNow >= view.mPausedUntil;
}

// During the profile's warm-up time a server's capacity grows linearly from one slot to
// all.
unsigned Steering::Capacity(std::size_t aServer, Instant aNow) const
{
  const BackendServer& server = mConfig->mBackendServers[aServer];
  Duration warmUpTime = mConfig->ProfileOf(server.mService).mWarmUpTime;
  Duration sinceServing = aNow - mViews[aServer]->mServingSince;
  if (sinceServing >= warmUpTime) {
    return server.mSlots;
  }
  auto warmSlots =
    static_cast<unsigned>(server.mSlots * sinceServing.count() / warmUpTime.count());
  return std::max(1U, warmSlots);
}

unsigned Steering::UsableSlots(ServiceId aService, Instant aNow) const
{
  unsigned sum = 0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService == aService && AcceptsRequests(i, aNow)) {
      sum += Capacity(i, aNow);
    }
  }
  return sum;
}

// Requests from other data centres may fill only the profile's spill percentage of the
// slots, so that spillover leaves the rest to this data centre's own callers.
unsigned Steering::FreeRemoteSlots(ServiceId aService, Instant aNow) const
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

std::optional<Slot> Steering::Acquire(ServiceId aService, Origin aOrigin, Instant aNow)
{
  if (!mConfig || Frozen(aNow)) {
    return std::nullopt;
  }
  if (aOrigin == Origin::Remote && FreeRemoteSlots(aService, aNow) == 0) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  double bestLoad = 1.0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService != aService || !AcceptsRequests(i, aNow)) {
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

void Steering::Release(const Slot& aSlot, AttemptOutcome aAttemptOutcome, Instant aNow)
{
  ServerView& view = *aSlot.mView;
  if (aAttemptOutcome == AttemptOutcome::Abandoned) {
    view.mAbandonedUntil.push_back(aNow + kAbandonedSlotHold);
  } else {
    view.mInFlight -= 1;
  }
  view.mRemoteInFlight -= aSlot.mOrigin == Origin::Remote ? 1 : 0;
  if (aAttemptOutcome != AttemptOutcome::Answered) {
    view.mPausedUntil = std::max(view.mPausedUntil, aNow + kShedPause);
  }
}

unsigned Steering::FreeSlots(ServiceId aService, Origin aOrigin, Instant aNow) const
{
  if (!mConfig || Frozen(aNow)) {
    return 0;
  }
  unsigned sum = 0;
  for (std::size_t i = 0; i < mViews.size(); ++i) {
    if (mConfig->mBackendServers[i].mService == aService && AcceptsRequests(i, aNow)) {
      unsigned capacity = Capacity(i, aNow);
      sum += capacity > mViews[i]->mInFlight ? capacity - mViews[i]->mInFlight : 0;
    }
  }
  return aOrigin == Origin::Remote ? std::min(sum, FreeRemoteSlots(aService, aNow)) : sum;
}

std::map<std::string, unsigned> Steering::FreeSlotsByService(Origin aOrigin,
                                                             Instant aNow) const
{
  std::map<std::string, unsigned> slots;
  for (std::size_t i = 0; mConfig && i < mConfig->mServices.size(); ++i) {
    slots[mConfig->mServices[i].mName] = FreeSlots(ServiceId(i), aOrigin, aNow);
  }
  return slots;
}

// Each request adds the shift's percentage to its credit, and a credit of 100 moves one
// request. The credit is spent even if the move then fails, so no window moves more than
// its percentage and one request.
std::optional<DataCentreId> Steering::DrawShift(ServiceId aService)
{
  for (std::size_t i = 0; i < mConfig->mShifts.size(); ++i) {
    const Shift& shift = mConfig->mShifts[i];
    if (shift.mService != aService || shift.mFrom != mOwnDataCentre) {
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

std::vector<std::string> Steering::InstancesOf(DataCentreId aDataCentre,
                                               ServiceId aService,
                                               const Members& aMembers,
                                               Instant aNow) const
{
  struct FreeInstance
  {
    unsigned mFree;
    std::string mAddress;
  };
  if (aDataCentre.IsNone()) {
    return {};
  }
  const std::string& service = mConfig->mServices[aService.Value()].mName;
  const std::string& dataCentre = mConfig->mDataCentres[aDataCentre.Value()].mName;
  std::vector<FreeInstance> instances;
  for (const Member* member : aMembers.AliveMembers(aNow)) {
    const MemberStatus& status = member->mStatus;
    const auto& offered =
      aDataCentre == mOwnDataCentre ? status.mFreeSlots : status.mRemoteSlots;
    auto slots = offered.find(service);
    bool free = slots != offered.end() && slots->second > 0;
    if (status.mDataCentre == dataCentre && status.mReady && free) {
      instances.push_back({ slots->second, status.mSelf.mAddress });
    }
  }
  std::ranges::sort(instances, std::ranges::greater(), &FreeInstance::mFree);
  std::vector<std::string> addresses;
  for (const FreeInstance& instance : instances) {
    addresses.push_back(instance.mAddress);
  }
  return addresses;
}

std::vector<std::string> Steering::ForwardTargets(ServiceId aService,
                                                  const Members& aMembers,
                                                  Instant aNow)
{
  std::vector<std::string> addresses;
  if (mOwnDataCentre.IsNone()) {
    return addresses;
  }
  auto append = [&](DataCentreId aDataCentre) {
    auto more = InstancesOf(aDataCentre, aService, aMembers, aNow);
    addresses.insert(addresses.end(), more.begin(), more.end());
  };
  append(mOwnDataCentre);
  RegionId region = mConfig->mDataCentres[mOwnDataCentre.Value()].mRegion;
  for (bool sameRegion : { true, false }) {
    for (std::size_t i = 0; i < mConfig->mDataCentres.size(); ++i) {
      const DataCentre& other = mConfig->mDataCentres[i];
      bool wanted = (other.mRegion == region) == sameRegion;
      if (wanted && DataCentreId(i) != mOwnDataCentre && !other.mDrained) {
        append(DataCentreId(i));
      }
    }
  }
  return addresses;
}

} // namespace vanillaloft::decide
