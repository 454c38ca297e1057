// Decides who may hold how many bytes of the process's memory for messages, and who must
// give way when the memory is used up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/types.h"

namespace vanillaloft::decide {

// What a holder of bytes does. Each phase has its own limit on the sum of all bytes, so
// that requests never take the room that the answers to earlier ones need.
enum class HoldPhase : std::uint8_t
{
  Receiving, // a request that arrives
  Serving,   // a whole request, and the answer of its backend server as it arrives
  Sending    // an answer that its caller reads
};

// Account of the bytes that requests and answers hold. Used on one thread.
class MemoryAccount
{
public:
  using HolderId = std::uint64_t;

  // A holder with up to this many bytes is small. Small holders have room of their own,
  // so that ordinary requests are served while large bodies wait.
  static constexpr std::size_t kSmallBytes = 64UL * 1024;
  // A holder that waits for its peer and moved nothing for this long has stalled.
  static constexpr base::Duration kStallTime = std::chrono::seconds(1);

  // aBudget: largest number of bytes that all holders may have. Only a holder that is
  // alone may exceed it, see MayGrow.
  explicit MemoryAccount(std::size_t aBudget)
    : mBudget(aBudget)
  {
  }

  HolderId Open(base::Instant aNow);
  void Close(HolderId aHolder);

  // True if the holder may have aBytes in all. Always true while the others hold next to
  // nothing, so that any single request that the limits allow is served.
  bool MayGrow(HolderId aHolder, std::size_t aBytes) const;
  void SetHeld(HolderId aHolder, std::size_t aBytes);
  void EnterPhase(HolderId aHolder, HoldPhase aPhase, base::Instant aNow);
  // Records bytes that the holder's peer sent or took.
  void RecordProgress(HolderId aHolder, std::size_t aBytes, base::Instant aNow);
  // A paused holder waits for room and not for its peer.
  void SetPaused(HolderId aHolder, bool aPaused, base::Instant aNow);
  // The holder gives its bytes up soon. They no longer count, and it is not chosen again.
  void SetEnding(HolderId aHolder);

  // The holder with the least progress for its bytes among those that have stalled.
  std::optional<HolderId> ChooseStalled(base::Instant aNow) const;
  // The holder with the least progress for its bytes; the latest one of equals. A request
  // that is being served is never chosen, because it may run.
  std::optional<HolderId> ChooseSlowest(base::Instant aNow) const;

  std::size_t HeldBytes() const { return mHeldBytes; }
  std::size_t Budget() const { return mBudget; }

private:
  struct Holder
  {
    HoldPhase mPhase = HoldPhase::Receiving;
    std::size_t mHeld = 0;
    double mProgress = 0; // bytes moved lately, see ProgressOf
    base::Instant mMovedAt{};
    bool mPaused = false;
    bool mEnding = false;
  };

  static double ProgressOf(const Holder& aHolder, base::Instant aNow);
  static bool MayEnd(const Holder& aHolder);
  std::size_t LimitOf(const Holder& aHolder, std::size_t aBytes) const;
  template<typename Predicate>
  std::optional<HolderId> ChooseIf(base::Instant aNow, Predicate aMayChoose) const;

  std::size_t mBudget;
  std::size_t mHeldBytes = 0;   // of all holders
  std::size_t mEndingBytes = 0; // part of mHeldBytes
  HolderId mNextId = 1;
  std::map<HolderId, Holder> mHolders; // in the order of their opening
};

} // namespace vanillaloft::decide
