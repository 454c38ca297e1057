#include "entry/direct.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillaloft::entry {

namespace asio = boost::asio;
using base::RequestError;
using decide::SendResult;

namespace {

// A request waits for a server that knows its object for this part of its latency target.
constexpr double kWaitPart = 0.125;
constexpr Duration kDefaultTarget = std::chrono::milliseconds(400);
// Room also comes with time: pauses end and cold servers take more.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
constexpr unsigned kMostNotSent = 3;

bool IsIdempotent(const Exchange& aExchange)
{
  return aExchange.MatchedRoute().mKind != decide::RouteKind::Order;
}

// When a request has waited long enough.
Instant WaitEnd(const Exchange& aExchange)
{
  Duration target = aExchange.MatchedRoute().mLatencyTarget;
  target = target > Duration::zero() ? target : kDefaultTarget;
  Duration wait = std::chrono::duration_cast<Duration>(target * kWaitPart);
  return std::min(aExchange.mArrival + wait, aExchange.mDeadline);
}

unsigned PriorityOf(const Exchange& aExchange)
{
  unsigned own = aExchange.MatchedRoute().mPriority;
  if (aExchange.mOrganisation.IsNone()) {
    return own;
  }
  return aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()]
    .mPriority.value_or(own);
}

// Such a request was not sent, so it does not count as one.
bool NotSent(Result aCode)
{
  return aCode == Result::NotConnected || aCode == Result::BackendServerLeft;
}

bool NotRun(Result aCode)
{
  return base::InfoOf(aCode).mExecuted == base::Executed::No;
}

// How a call that failed is counted for its server.
SendResult FailureOf(const RequestError& aError, const Exchange& aExchange)
{
  if (aExchange.CallerDisconnected() || aError.Code() == Result::DeadlineBeforeStart ||
      aError.Code() == Result::BackendServerLeft) {
    return SendResult::Cancelled;
  }
  return aError.Code() == Result::NotConnected ? SendResult::Refused : SendResult::Lost;
}

// How an answer is counted, and the code with which the request goes on; Ok if the answer
// is for the caller.
struct Verdict
{
  SendResult mResult;
  Result mCode;
};

Verdict Judge(const ServerAnswer& aAnswer)
{
  if (aAnswer.mWrongServer) {
    return { SendResult::Gone, Result::BackendServerShed };
  }
  if (aAnswer.mNotRun) {
    return { SendResult::Full, Result::BackendServerShed };
  }
  if (!aAnswer.mGenuine) {
    return { SendResult::Lost, Result::AnswerLost };
  }
  return { aAnswer.mServerFailed ? SendResult::Failed : SendResult::Answered,
           Result::Ok };
}

} // namespace

decide::Wish DirectPlacement::WishOf(const Exchange& aExchange, const Tries& aTries) const
{
  decide::Wish wish;
  const decide::Route& route = aExchange.MatchedRoute();
  wish.mService = aExchange.mService;
  wish.mObject = route.mSticky && !aExchange.mObject.empty() ? aExchange.mObject
                                                             : aExchange.mRequestId;
  wish.mHomes = route.mHomes;
  if (!aExchange.mOrganisation.IsNone()) {
    wish.mMoreHomes =
      aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mHomes;
  }
  for (const decide::ServerPtr& server : aTries.mServers) {
    wish.mTried.push_back(server.get());
  }
  return wish;
}

Awaitable<void> DirectPlacement::WaitForRoom(const Exchange& aExchange, Instant aUntil)
{
  asio::steady_timer timer(mCore.mContext, std::min(aUntil - mCore.Now(), kLookAgain));
  Waiter waiter{ PriorityOf(aExchange), mNextWaiter++, &timer };
  const std::string& service = aExchange.ServiceName();
  mWaiters[service].insert(waiter);
  boost::system::error_code woken;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  mWaiters[service].erase(waiter);
}

// Wakes all that wait for the service, the most urgent first.
void DirectPlacement::Ended(const decide::ServerPtr& aServer, SendResult aResult)
{
  mCore.mFleet.Ended(aServer, aResult, mCore.Now());
  auto waiting = mWaiters.find(aServer->mRegistration.mService);
  if (waiting == mWaiters.end()) {
    return;
  }
  for (const Waiter& waiter : waiting->second) {
    waiter.mTimer->cancel();
  }
}

Awaitable<decide::ServerPtr> DirectPlacement::Pick(Exchange& aExchange,
                                                   const Tries& aTries)
{
  Instant until = WaitEnd(aExchange);
  decide::Wish wish = WishOf(aExchange, aTries);
  for (;;) {
    wish.mMaySpill = mCore.Now() >= until;
    decide::Choice choice = mCore.mFleet.Choose(wish, mCore.Now());
    if (choice.mServer) {
      co_return choice.mServer;
    }
    if (choice.mWhy == decide::NoChoice::None) {
      throw RequestError(Result::NoBackendServer);
    }
    if (aExchange.CallerDisconnected() || wish.mMaySpill) {
      NoteRefusal(aExchange, wish);
      throw RequestError(Result::QueueTimeout);
    }
    co_await WaitForRoom(aExchange, until);
  }
}

Awaitable<decide::Outcome> DirectPlacement::SendTo(Exchange& aExchange,
                                                   decide::ServerPtr aServer,
                                                   Tries& aTries)
{
  const decide::Registration& registration = aServer->mRegistration;
  BackendTarget target{ registration.mId, registration.mAddress, [&] {
                         return !mCore.mFleet.IsLeaving(*aServer);
                       } };
  ++aTries.mSends;
  aTries.mServers.push_back(aServer);
  Instant sent = mCore.Now();
  ServerAnswer answer;
  std::optional<RequestError> failure;
  try {
    answer = co_await mBackend.Call(
      aExchange, target, ConnectionReuse::Allowed, !IsIdempotent(aExchange));
  } catch (const RequestError& error) {
    failure = error;
  }
  NoteSend(aExchange, *aServer, sent, answer);
  if (failure) {
    Ended(aServer, FailureOf(*failure, aExchange));
    throw RequestError(*failure);
  }
  if (answer.mLoad) {
    mCore.mFleet.Report(aServer, *answer.mLoad, mCore.Now() - sent, mCore.Now());
  }
  Verdict verdict = Judge(answer);
  Ended(aServer, verdict.mResult);
  if (verdict.mCode != Result::Ok) {
    throw RequestError(verdict.mCode);
  }
  if (answer.mServerFailed) {
    aTries.mFailure = answer.mOutcome;
  }
  co_return std::move(answer.mOutcome);
}

// "server:waited-ms:took-ms:load/others" for each send.
void DirectPlacement::NoteSend(Exchange& aExchange,
                               const decide::Server& aServer,
                               Instant aSent,
                               const ServerAnswer& aAnswer) const
{
  using std::chrono::milliseconds;
  auto waited = std::chrono::duration_cast<milliseconds>(aSent - aExchange.mArrival);
  auto took = std::chrono::duration_cast<milliseconds>(mCore.Now() - aSent);
  decide::LoadReport load = aAnswer.mLoad.value_or(decide::LoadReport());
  aExchange.mSendLog += fmt::format("{}{}@{}:{}:{}:{}+{}/{}",
                                    aExchange.mSendLog.empty() ? "" : ",",
                                    aServer.Id(),
                                    aServer.mRegistration.mDataCentre,
                                    waited.count(),
                                    took.count(),
                                    load.mRunning,
                                    load.mWaiting,
                                    load.mSlots);
}

// "server@data-centre:in-flight+others/slots:report-age-ms" for each server that had no
// room, or that was left out although it had (":free"). "-" if no report came yet.
void DirectPlacement::NoteRefusal(Exchange& aExchange, const decide::Wish& aWish) const
{
  using std::chrono::milliseconds;
  for (const decide::HolderState& state : mCore.mFleet.Explain(aWish, mCore.Now())) {
    const decide::Registration& registration = state.mServer->mRegistration;
    std::string age = "-";
    if (state.mReportAge) {
      age = std::to_string(
        std::chrono::duration_cast<milliseconds>(*state.mReportAge).count());
    }
    aExchange.mRefusalLog += fmt::format("{}{}@{}:{}+{:.1f}/{}:{}{}",
                                         aExchange.mRefusalLog.empty() ? "" : ",",
                                         registration.mId,
                                         registration.mDataCentre,
                                         state.mInFlight,
                                         state.mOthers,
                                         registration.mSlots,
                                         age,
                                         state.mHasRoom ? ":free" : "");
  }
}

bool DirectPlacement::MayTryAgain(const Exchange& aExchange,
                                  const Tries& aTries,
                                  Result aCode)
{
  bool safe = NotRun(aCode) || IsIdempotent(aExchange);
  if (!safe || aExchange.CallerDisconnected() || mCore.Now() >= aExchange.mDeadline) {
    return false;
  }
  if (NotSent(aCode)) {
    return aTries.mNotSent <= kMostNotSent;
  }
  unsigned most = std::max(1U, aExchange.MatchedRoute().mMostServers);
  return aTries.mSends < most && mCore.mRetryBudget.Spend(aExchange.ServiceName());
}

// Tries one server after the other for as long as that does no harm. "Not run" is said
// only if no server at all can have run the request.
Awaitable<decide::Outcome> DirectPlacement::Place(Exchange& aExchange)
{
  Tries tries;
  for (;;) {
    Result code = Result::Ok;
    decide::Outcome outcome;
    try {
      decide::ServerPtr server = co_await Pick(aExchange, tries);
      outcome = co_await SendTo(aExchange, std::move(server), tries);
    } catch (const RequestError& error) {
      code = error.Code();
    }
    bool failed = code == Result::Ok && tries.mFailure;
    if (code == Result::Ok && !failed) {
      co_return outcome;
    }
    if (NotSent(code)) {
      ++tries.mNotSent;
      --tries.mSends;
    }
    tries.mMayHaveRun = tries.mMayHaveRun || failed || !NotRun(code);
    bool noServer = code == Result::QueueTimeout || code == Result::NoBackendServer;
    Result ended = failed ? Result::AnswerLost : code;
    if (!noServer && MayTryAgain(aExchange, tries, ended)) {
      continue;
    }
    if (tries.mFailure) {
      co_return std::move(*tries.mFailure);
    }
    throw RequestError(NotRun(code) && tries.mMayHaveRun ? Result::AnswerLost : code);
  }
}

} // namespace vanillaloft::entry
