#include "entry/admission.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillaloft::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxHoldersAsked = 4; // holders asked in one round
// While no holder has tokens to spare, only one request in this interval asks again, on
// behalf of all.
constexpr Duration kExhaustedRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kMinTokenWait = std::chrono::milliseconds(2);
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds kTokenRequestTimeout{ 60 };

} // namespace

// A token that arrives after its lifetime is discarded: its holder's bucket has refilled
// in the meantime.
Awaitable<bool> Admission::RequestTokens(decide::BudgetId aBudget,
                                         decide::MicroTokens aAmount,
                                         bool aFirstAttempt)
{
  const decide::Budget& budget = mCore.Config()->mBudgets[aBudget.Value()];
  Duration tokenLifetime = decide::UsableBudgetOf(budget.mTotal).mTokenLife;
  peer::wire::TokenRequest request;
  request.set_budget(decide::BudgetKey(budget));
  request.set_micro_tokens(static_cast<std::uint64_t>(aAmount));
  request.set_data_centre(mCore.mSettings.mDataCentre);
  request.set_first_ask(aFirstAttempt);
  std::vector<std::string> holders = mCore.mShares.TokenSources(aBudget);
  std::erase_if(holders, [&](const std::string& aHolder) {
    return mCore.mMembers.TimedOut(aHolder, mCore.Now());
  });
  if (holders.empty()) {
    mCore.mMembers.AddShareHolders(holders, mCore.Now());
  }
  holders.resize(std::min(holders.size(), kMaxHoldersAsked));
  for (const std::string& holder : holders) {
    Instant requestedAt = mCore.Now();
    try {
      auto reply = co_await mCore.mPeers.AskToken(holder, request, kTokenRequestTimeout);
      if (reply.given() && mCore.Now() - requestedAt <= tokenLifetime) {
        co_return true;
      }
    } catch (const peer::PeerError&) {
      continue; // another holder may be reachable
    }
  }
  co_return false;
}

// After all holders had no tokens to spare, they are not asked again for
// kExhaustedRetryInterval. Otherwise requests beyond a limit would cost more than those
// within it.
Awaitable<bool> Admission::RequestTokensUnlessExhausted(std::string aKey,
                                                        decide::BudgetId aBudget,
                                                        decide::MicroTokens aAmount,
                                                        bool aFirstAttempt)
{
  auto exhausted = mExhaustedUntil.find(aKey);
  if (exhausted != mExhaustedUntil.end()) {
    if (mCore.Now() < exhausted->second) {
      co_return false;
    }
    exhausted->second = mCore.Now() + kExhaustedRetryInterval;
  }
  if (co_await RequestTokens(aBudget, aAmount, aFirstAttempt)) {
    mExhaustedUntil.erase(aKey);
    co_return true;
  }
  mExhaustedUntil[aKey] = mCore.Now() + kExhaustedRetryInterval;
  co_return false;
}

Awaitable<bool> Admission::TakeTokens(decide::BudgetId aBudget,
                                      decide::MicroTokens aAmount,
                                      Instant aUntil)
{
  decide::ConfigPtr config = mCore.Config();
  std::string key = decide::BudgetKey(config->mBudgets[aBudget.Value()]);
  mCore.mShares.CountDemand(aBudget, aAmount, mCore.Now());
  for (bool first = true;; first = false) {
    if (config != mCore.Config()) {
      co_return false; // the index may refer to another budget now
    }
    if (mCore.mShares.Debit(aBudget, aAmount, mCore.Now())) {
      co_return true;
    }
    if (co_await RequestTokensUnlessExhausted(key, aBudget, aAmount, first)) {
      co_return true;
    }
    if (config != mCore.Config()) {
      co_return false;
    }
    Duration wait = mCore.mShares.TimeUntil(aBudget, aAmount, mCore.Now());
    wait = std::clamp(wait, kMinTokenWait, kMaxTokenWait);
    if (mCore.Now() + wait > aUntil) {
      co_return false;
    }
    co_await mCore.Sleep(wait);
  }
}

std::optional<decide::Slot> Admission::TakeSlot(decide::ServiceId aService,
                                                decide::Origin aOrigin)
{
  const std::string& service = mCore.Config()->mServices[aService.Value()].mName;
  if (mQueues[service].Size() > 0) {
    return std::nullopt;
  }
  return mCore.mSteer.Acquire(aService, aOrigin, mCore.Now());
}

Awaitable<std::optional<decide::Slot>> Admission::WaitForSlot(
  decide::ServiceId aService,
  decide::OrganisationId aOrganisation,
  Instant aUntil)
{
  decide::FairQueue& queue = mQueues[mCore.Config()->mServices[aService.Value()].mName];
  Waiter waiter{ asio::steady_timer(mCore.mContext, aUntil - mCore.Now()), std::nullopt };
  decide::WaiterId id = mNextWaiter++;
  if (!queue.Push(aOrganisation, id)) {
    throw base::RequestError(Result::QueueFull);
  }
  mWaiters[id] = &waiter;
  ServeWaiters();
  if (!waiter.mSlot) {
    boost::system::error_code cancelled;
    co_await waiter.mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  }
  mWaiters.erase(id);
  queue.Remove(aOrganisation, id);
  co_return waiter.mSlot;
}

void Admission::Release(const decide::Slot& aSlot, decide::AttemptOutcome aAttemptOutcome)
{
  decide::Steering::Release(aSlot, aAttemptOutcome, mCore.Now());
  ServeWaiters();
}

void Admission::ServeWaiters()
{
  for (auto& [service, queue] : mQueues) {
    decide::ServiceId id = mCore.Config()->FindService(service);
    while (queue.Size() > 0 && !id.IsNone()) {
      auto slot = mCore.mSteer.Acquire(id, decide::Origin::Local, mCore.Now());
      if (!slot) {
        break;
      }
      Waiter* waiter = mWaiters.at(*queue.Pop());
      waiter->mSlot = std::move(slot);
      waiter->mTimer.cancel();
    }
  }
}

} // namespace vanillaloft::entry
