#include "daemon/stop.h"

#include <algorithm>

#include "entry/background.h"

namespace vanillaloft::daemon {

using base::Event;
using base::Log;
using decide::StopWait;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// The last waits end little before the process, so the ticks are short by then.
constexpr Duration kLastTickInterval = std::chrono::milliseconds(20);
// Ticks after the end of the service, also of a process that was suspended until then.
constexpr unsigned kMinLastTicks = 5;

// A step that fails must not end the process, and what it holds, at once.
template<typename Step>
void TryStep(const char* aName, Step aStep)
{
  try {
    aStep();
  } catch (const std::exception& error) {
    entry::LogTaskFailure(aName, error);
  }
}

} // namespace

Duration Stopper::LongestLookUpTtl() const
{
  Duration longest{};
  for (std::size_t i = 0; mCore.Config() && i < mCore.Config()->mProfiles.size(); ++i) {
    longest = std::max(longest, mCore.Config()->mProfiles[i].mLookUpTtl);
  }
  return longest;
}

// Returns the time until which a stopping instance accepts new requests. Until then
// callers use cached look-up answers, and peers return this instance in look-ups until
// they learn from its heartbeat that it is leaving.
Instant Stopper::AcceptDeadline() const
{
  Duration acceptPeriod = mCore.mSettings.mStopAcceptPeriod;
  if (acceptPeriod == Duration::zero()) {
    acceptPeriod = LongestLookUpTtl() + mCore.mSettings.mMemberTimeout;
  }
  return mCore.Now() + std::min(acceptPeriod, mCore.mSettings.mStopTimeout);
}

// Returns whether nothing may wait for this any more, after a time.
bool Stopper::IsOver(StopWait aWait, Duration aIn) const
{
  return mCore.mStop.IsOver(aWait, mCore.Now() + aIn);
}

Awaitable<void> Stopper::Tick()
{
  bool ending = IsOver(StopWait::Start, kTickInterval);
  co_await mCore.Sleep(ending ? kLastTickInterval : kTickInterval);
  mCore.EndOverdueWaits();
  if (IsOver(StopWait::Handler)) {
    mListener.AnswerUnhandled();
  }
}

void Stopper::Leave()
{
  mCore.mLeaving = true;
  mCore.mStop.Begin(mCore.Now() + mCore.mSettings.mStopTimeout);
  mCore.LogHeldRequests();
  mLookUps.Rebuild();
  mLoops.TellPeers();
}

Awaitable<void> Stopper::AcceptLastRequests()
{
  Instant acceptDeadline = AcceptDeadline();
  while (mCore.Now() < acceptDeadline ||
         (mCore.mLedger.HasUnexpired(mCore.Now()) && !IsOver(StopWait::Handler))) {
    co_await Tick();
  }
}

void Stopper::StopAccepting()
{
  mCore.mStopped = true;
  mListener.StopAccepting();
  entry::Spawn(mCore.mContext, "release-shares", mLoops.ReleaseShares());
  mLoops.TellPeers();
}

// Waits until the callers have what they were promised. The last answers are written
// after the end of the service.
Awaitable<void> Stopper::AwaitDelivery()
{
  unsigned lastTicks = 0;
  for (bool holds = true; holds;) {
    co_await Tick();
    bool served = IsOver(StopWait::Handler);
    lastTicks += served ? 1 : 0;
    holds = (!served && !mCore.mHeld.All().empty()) || mListener.HasUndelivered();
    if (IsOver(StopWait::Delivery) && lastTicks >= kMinLastTicks) {
      break;
    }
  }
}

Awaitable<void> Stopper::Run()
{
  Log(spdlog::level::info, Event::Stopping, "");
  TryStep("leave", [this] { Leave(); });
  co_await AcceptLastRequests();
  TryStep("stop-accepting", [this] { StopAccepting(); });
  co_await AwaitDelivery();
  mCore.mStop.EndService(mCore.Now());
  for (entry::Signal& news : mCore.mReplicaNews) {
    news.NotifyAll(); // a closing server waits for the answers to its peers
  }
  mCore.LogHeldRequests();
  mListener.CloseIdle();
  Log(spdlog::level::info, Event::Stopped, "");
}

} // namespace vanillaloft::daemon
