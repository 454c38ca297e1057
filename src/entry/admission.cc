#include "entry/admission.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillaloft::entry {

namespace asio = boost::asio;

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
  WaitRegistration wait(mCore.mWaits,
                        { decide::StopWait::Start, [&] { waiter.mTimer.cancel(); } });
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
