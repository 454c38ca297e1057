#include "decide/memory.h"

#include <algorithm>
#include <cmath>

namespace vanillaloft::decide {

namespace {

// Fractions of the budget that the sum of all bytes may reach by a holder's growth.
constexpr double kLargeRequestFraction = 0.5;
constexpr double kSmallRequestFraction = 0.75;
// A holder is alone while the others have less than this fraction of the budget.
constexpr double kAloneFraction = 0.125;
// Progress counts half after this time.
constexpr base::Duration kProgressHalfLife = std::chrono::milliseconds(500);
// Less progress than this counts as this much, so that of holders that move nearly
// nothing the one with the most bytes ends first.
constexpr double kLeastProgressBytes = 1024;

std::size_t Part(std::size_t aBytes, double aFraction)
{
  return static_cast<std::size_t>(double(aBytes) * aFraction);
}

} // namespace

MemoryAccount::HolderId MemoryAccount::Open(base::Instant aNow)
{
  mHolders[mNextId].mMovedAt = aNow;
  return mNextId++;
}

void MemoryAccount::Close(HolderId aHolder)
{
  SetHeld(aHolder, 0);
  mHolders.erase(aHolder);
}

std::size_t MemoryAccount::LimitOf(const Holder& aHolder, std::size_t aBytes) const
{
  if (aHolder.mPhase != HoldPhase::Receiving) {
    return mBudget;
  }
  bool isSmall = aBytes <= kSmallBytes;
  return Part(mBudget, isSmall ? kSmallRequestFraction : kLargeRequestFraction);
}

bool MemoryAccount::MayGrow(HolderId aHolder, std::size_t aBytes) const
{
  const Holder& holder = mHolders.at(aHolder);
  if (holder.mEnding) {
    return false;
  }
  if (aBytes <= holder.mHeld) {
    return true;
  }
  std::size_t others = mHeldBytes - mEndingBytes - holder.mHeld;
  return others < Part(mBudget, kAloneFraction) ||
         others + aBytes <= LimitOf(holder, aBytes);
}

void MemoryAccount::SetHeld(HolderId aHolder, std::size_t aBytes)
{
  Holder& holder = mHolders.at(aHolder);
  mHeldBytes = mHeldBytes - holder.mHeld + aBytes;
  if (holder.mEnding) {
    mEndingBytes = mEndingBytes - holder.mHeld + aBytes;
  }
  holder.mHeld = aBytes;
}

// A new phase starts with the progress of a holder that moved all its bytes just now.
void MemoryAccount::EnterPhase(HolderId aHolder, HoldPhase aPhase, base::Instant aNow)
{
  Holder& holder = mHolders.at(aHolder);
  holder.mPhase = aPhase;
  holder.mProgress = double(holder.mHeld);
  holder.mMovedAt = aNow;
  holder.mPaused = false;
}

double MemoryAccount::ProgressOf(const Holder& aHolder, base::Instant aNow)
{
  if (aHolder.mPaused) {
    return aHolder.mProgress;
  }
  double halfLives = std::chrono::duration<double>(aNow - aHolder.mMovedAt) /
                     std::chrono::duration<double>(kProgressHalfLife);
  return aHolder.mProgress * std::exp2(-halfLives);
}

void MemoryAccount::RecordProgress(HolderId aHolder,
                                   std::size_t aBytes,
                                   base::Instant aNow)
{
  Holder& holder = mHolders.at(aHolder);
  holder.mProgress = ProgressOf(holder, aNow) + double(aBytes);
  holder.mMovedAt = aNow;
}

void MemoryAccount::SetPaused(HolderId aHolder, bool aPaused, base::Instant aNow)
{
  Holder& holder = mHolders.at(aHolder);
  if (holder.mPaused == aPaused) {
    return;
  }
  holder.mProgress = ProgressOf(holder, aNow);
  holder.mMovedAt = aNow;
  holder.mPaused = aPaused;
}

void MemoryAccount::SetEnding(HolderId aHolder)
{
  Holder& holder = mHolders.at(aHolder);
  if (!holder.mEnding) {
    holder.mEnding = true;
    mEndingBytes += holder.mHeld;
  }
}

bool MemoryAccount::MayEnd(const Holder& aHolder)
{
  return aHolder.mPhase != HoldPhase::Serving && !aHolder.mEnding && aHolder.mHeld > 0;
}

template<typename Predicate>
std::optional<MemoryAccount::HolderId> MemoryAccount::ChooseIf(base::Instant aNow,
                                                               Predicate aMayChoose) const
{
  std::optional<HolderId> chosen;
  double leastProgress = 0;
  for (const auto& [id, holder] : mHolders) {
    if (!MayEnd(holder) || !aMayChoose(holder)) {
      continue;
    }
    double moved = std::max(ProgressOf(holder, aNow), kLeastProgressBytes);
    double progress = moved / double(holder.mHeld);
    if (!chosen || progress <= leastProgress) {
      chosen = id;
      leastProgress = progress;
    }
  }
  return chosen;
}

std::optional<MemoryAccount::HolderId> MemoryAccount::ChooseStalled(
  base::Instant aNow) const
{
  return ChooseIf(aNow, [&](const Holder& aHolder) {
    return !aHolder.mPaused && aNow - aHolder.mMovedAt >= kStallTime;
  });
}

std::optional<MemoryAccount::HolderId> MemoryAccount::ChooseSlowest(
  base::Instant aNow) const
{
  return ChooseIf(aNow, [](const Holder&) { return true; });
}

} // namespace vanillaloft::decide
