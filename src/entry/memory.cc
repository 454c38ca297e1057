#include "entry/memory.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;

namespace {

// What a process takes without messages.
constexpr std::size_t kProgramBytes = 64UL * 1024 * 1024;
constexpr std::size_t kLeastBudgetBytes = 8UL * 1024 * 1024;
// The rest is for copies while a buffer grows, and for bytes that the kernel holds.
constexpr double kBudgetFraction = 0.75;
// A holder pauses for this long before the slowest one ends, whoever that is.
constexpr base::Duration kMaxPause = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kPauseStep{ 200 };
// Many holders that wait share one search for others to end.
constexpr base::Duration kScanInterval = std::chrono::milliseconds(20);
constexpr std::size_t kWokenAtOnce = 8;
constexpr base::Duration kLogInterval = std::chrono::seconds(1);

} // namespace

std::size_t MessageBudget(std::size_t aMachineBytes)
{
  std::size_t free = aMachineBytes - std::min(aMachineBytes, kProgramBytes);
  return std::max(kLeastBudgetBytes,
                  static_cast<std::size_t>(double(free) * kBudgetFraction));
}

void MemoryGate::End(HolderId aHolder)
{
  mAccount.SetEnding(aHolder);
  ++mEnded;
  base::Instant now = mClock.Now();
  if (mLoggedAt == base::Instant() || now - mLoggedAt >= kLogInterval) {
    mLoggedAt = now;
    base::Log(spdlog::level::warn,
              base::Event::MemoryFull,
              "held={} budget={} ended={}",
              HeldBytes(),
              Budget(),
              mEnded);
  }
  Hold& hold = *mHolds.at(aHolder);
  hold.mMustEnd = true;
  if (hold.mOnEnd) {
    hold.mOnEnd();
  }
}

void MemoryGate::WakeWaiting()
{
  std::size_t woken = 0;
  for (asio::steady_timer* timer : mWaiting) {
    if (woken++ == kWokenAtOnce) {
      return;
    }
    timer->cancel();
  }
}

Hold::Hold(MemoryGate& aGate, std::function<void()> aOnEnd)
  : mGate(aGate)
  , mOnEnd(std::move(aOnEnd))
  , mId(aGate.mAccount.Open(aGate.mClock.Now()))
{
  mGate.mHolds[mId] = this;
}

Hold::~Hold()
{
  mGate.mHolds.erase(mId);
  mGate.mAccount.Close(mId);
  mGate.WakeWaiting();
}

void Hold::Reset()
{
  mAnswerBytes = 0;
  SetMessage(0);
  EnterPhase(decide::HoldPhase::Receiving);
}

void Hold::SetMessage(std::size_t aBytes)
{
  bool less = aBytes < mMessageBytes;
  mMessageBytes = aBytes;
  mGate.mAccount.SetHeld(mId, mMessageBytes + mAnswerBytes);
  if (less) {
    mGate.WakeWaiting();
  }
}

bool Hold::GrowMessage(std::size_t aBytes)
{
  mWantedBytes = aBytes + mAnswerBytes;
  if (!mGate.mAccount.MayGrow(mId, mWantedBytes)) {
    return false;
  }
  mPaused = false;
  SetMessage(aBytes);
  return true;
}

bool Hold::Grow(std::size_t aBytes)
{
  mWantedBytes = mMessageBytes + aBytes;
  if (!mGate.mAccount.MayGrow(mId, mWantedBytes)) {
    return false;
  }
  mPaused = false;
  mAnswerBytes = aBytes;
  mGate.mAccount.SetHeld(mId, mWantedBytes);
  return true;
}

void Hold::EnterPhase(decide::HoldPhase aPhase)
{
  mPaused = false;
  mGate.mAccount.EnterPhase(mId, aPhase, Now());
}

void Hold::RecordProgress(std::size_t aBytes)
{
  mGate.mAccount.RecordProgress(mId, aBytes, Now());
}

// Ends holders until those that remain leave room. What they hold is free a moment later,
// when their connections have ended.
void Hold::MakeRoom()
{
  if (Now() - mGate.mScannedAt < kScanInterval) {
    return;
  }
  mGate.mScannedAt = Now();
  bool pausedLong = Now() - mPausedAt >= kMaxPause;
  while (!mMustEnd && !mGate.mAccount.MayGrow(mId, mWantedBytes)) {
    auto chosen = mGate.mAccount.ChooseStalled(Now());
    if (!chosen && pausedLong) {
      chosen = mGate.mAccount.ChooseSlowest(Now());
    }
    if (!chosen) {
      return;
    }
    mGate.End(*chosen);
  }
}

net::Awaitable<void> Hold::Pause()
{
  if (!mPaused) {
    mPaused = true;
    mPausedAt = Now();
  }
  mGate.mAccount.SetPaused(mId, true, Now());
  MakeRoom();
  if (!mMustEnd) {
    asio::steady_timer timer(mGate.mContext, kPauseStep);
    auto position = mGate.mWaiting.insert(mGate.mWaiting.end(), &timer);
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    mGate.mWaiting.erase(position);
  }
  mGate.mAccount.SetPaused(mId, false, Now());
}

} // namespace vanillaloft::entry
