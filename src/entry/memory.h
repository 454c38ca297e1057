// Keeps the bytes of all requests and answers of the process within a budget: reading
// pauses while there is no room, and connections that make the least progress end.
#pragma once

#include <functional>
#include <list>
#include <map>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "decide/memory.h"
#include "net/http.h"

namespace vanillaloft::entry {

class Hold;

// The part of a machine's memory that messages may take. The rest is for the program, the
// configuration, connections without a message, and the kernel's buffers.
std::size_t MessageBudget(std::size_t aMachineBytes);

// The process's account of bytes, with those that wait for room.
class MemoryGate
{
public:
  MemoryGate(boost::asio::io_context& aContext,
             const base::Clock& aClock,
             std::size_t aBudget)
    : mContext(aContext)
    , mClock(aClock)
    , mAccount(aBudget)
  {
  }

  std::size_t HeldBytes() const { return mAccount.HeldBytes(); }
  std::size_t Budget() const { return mAccount.Budget(); }
  // Number of holders that were ended to make room.
  std::uint64_t Ended() const { return mEnded; }

private:
  friend class Hold;
  using HolderId = decide::MemoryAccount::HolderId;

  void End(HolderId aHolder);
  void WakeWaiting();

  boost::asio::io_context& mContext;
  const base::Clock& mClock;
  decide::MemoryAccount mAccount;
  std::map<HolderId, Hold*> mHolds;
  std::list<boost::asio::steady_timer*> mWaiting; // the longest wait first
  std::uint64_t mEnded = 0;
  base::Instant mLoggedAt{};
  base::Instant mScannedAt{}; // last search for holders to end
};

// The bytes of one request and its answer. aOnEnd is called once if they must be given up
// to make room; it must not destroy the Hold.
class Hold final : public net::ReadBudget
{
public:
  Hold(MemoryGate& aGate, std::function<void()> aOnEnd);
  Hold(const Hold&) = delete;
  Hold& operator=(const Hold&) = delete;
  ~Hold() override;

  // Starts over with no bytes, for the next request of a connection.
  void Reset();
  // Counts aBytes beside those of the answer, e.g. the body of the request.
  void SetMessage(std::size_t aBytes);
  // As SetMessage if there is room; false and no change otherwise.
  bool GrowMessage(std::size_t aBytes);
  void EnterPhase(decide::HoldPhase aPhase);
  // Records bytes that the caller sent or took.
  void RecordProgress(std::size_t aBytes);
  // True once the bytes must be given up.
  bool MustEnd() const { return mMustEnd; }

  // net::ReadBudget
  bool Grow(std::size_t aBytes) override;
  net::Awaitable<void> Pause() override;

private:
  friend class MemoryGate;
  base::Instant Now() const { return mGate.mClock.Now(); }
  void MakeRoom();

  MemoryGate& mGate;
  std::function<void()> mOnEnd;
  decide::MemoryAccount::HolderId mId;
  std::size_t mMessageBytes = 0;
  std::size_t mAnswerBytes = 0;
  std::size_t mWantedBytes = 0; // in all, at the last refused growth
  base::Instant mPausedAt{};
  bool mPaused = false;
  bool mMustEnd = false;
};

} // namespace vanillaloft::entry
