#include "entry/direct.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decide/hash.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;
using base::RequestError;
using decide::SendResult;

namespace {

// A request waits this fraction of its latency target for the server that its object has
// an affinity to.
constexpr double kCapacityWaitFraction = 0.125;
constexpr Duration kDefaultLatencyTarget = std::chrono::milliseconds(400);
// Attempts per request that may fail before anything is sent, without using its retries.
constexpr unsigned kMaxUnsent = 3;

bool IsIdempotent(const Exchange& aExchange)
{
  return aExchange.MatchedRoute().mKind != decide::RouteKind::Order;
}

Duration LatencyTargetOf(const Exchange& aExchange)
{
  Duration target = aExchange.MatchedRoute().mLatencyTarget;
  return target > Duration::zero() ? target : kDefaultLatencyTarget;
}

// Returns the time from which a request may spill over.
Instant SpillTime(const Exchange& aExchange, Instant aDeadline)
{
  Duration wait = std::chrono::duration_cast<Duration>(LatencyTargetOf(aExchange) *
                                                       kCapacityWaitFraction);
  return std::min(aExchange.mArrival + wait, aDeadline);
}

// Identifies a route's requests to one of its services.
std::uint64_t RouteHash(const Exchange& aExchange)
{
  const decide::Route& route = aExchange.MatchedRoute();
  return decide::HashOf(route.mHost + route.mPath + "\n" + aExchange.ServiceName());
}

unsigned PriorityOf(const Exchange& aExchange)
{
  unsigned routePriority = aExchange.MatchedRoute().mPriority;
  if (aExchange.mOrganisation.IsNone()) {
    return routePriority;
  }
  return aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()]
    .mPriority.value_or(routePriority);
}

// Nothing was sent to the server, so the attempt does not count against the limit of
// sends.
bool WasNotSent(Result aCode)
{
  return aCode == Result::NotConnected || aCode == Result::BackendServerLeft;
}

bool DidNotRun(Result aCode)
{
  return base::InfoOf(aCode).mExecuted == base::Executed::No;
}

// Returns the result that is recorded for the server of a failed call.
SendResult ClassifyFailure(const RequestError& aError, const Exchange& aExchange)
{
  if (aExchange.CallerDisconnected() || aError.Code() == Result::DeadlineBeforeStart ||
      aError.Code() == Result::BackendServerLeft) {
    return SendResult::Cancelled;
  }
  return aError.Code() == Result::NotConnected ? SendResult::Refused : SendResult::Lost;
}

// The result that is recorded for a server, and the result code of the request: Ok if the
// response is returned to the caller, otherwise the reason of a possible retry.
struct ClassifiedAnswer
{
  SendResult mResult;
  Result mCode;
};

ClassifiedAnswer ClassifyAnswer(const ServerAnswer& aAnswer)
{
  if (aAnswer.mWrongServer) {
    return { SendResult::Gone, Result::BackendServerShed };
  }
  if (aAnswer.mPause && aAnswer.mPause->mPause > Duration::zero()) {
    return { SendResult::Paused,
             aAnswer.mNotRun ? Result::BackendServerShed : Result::AnswerLost };
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

decide::PlacementQuery DirectPlacement::QueryOf(const Exchange& aExchange,
                                                const Attempts& aAttempts) const
{
  decide::PlacementQuery query;
  const decide::Route& route = aExchange.MatchedRoute();
  query.mConfig = aExchange.mConfig;
  query.mService = aExchange.mService;
  query.mObject = route.mSticky && !aExchange.mObject.empty() ? aExchange.mObject
                                                              : aExchange.mRequestId;
  query.mRouteHomes = route.mHomes;
  if (!aExchange.mOrganisation.IsNone()) {
    query.mOrganisationHomes =
      aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mHomes;
  }
  query.mRoute = RouteHash(aExchange);
  query.mBodyBytes = aExchange.mBody.size();
  for (const decide::ServerPtr& server : aAttempts.mServers) {
    query.mTried.push_back(server.get());
  }
  return query;
}

decide::PlacementRequest DirectPlacement::RequestOf(const Exchange& aExchange,
                                                    const Attempts& aAttempts) const
{
  Duration target = LatencyTargetOf(aExchange);
  decide::PlacementRequest request;
  request.mQuery = QueryOf(aExchange, aAttempts);
  request.mTerms.mTarget = aExchange.mArrival - aExchange.mSinceFirst + target;
  request.mTerms.mDeadline = mCore.DeadlineOf(aExchange);
  request.mTerms.mWork = mCore.mAnswerTimes.Expect(request.mQuery.mRoute, target / 2);
  request.mTerms.mReturn =
    decide::ReturnOf(aExchange.mSinceFirst, aExchange.mCallerTimeout);
  request.mOrganisationPriority = PriorityOf(aExchange);
  request.mRoutePriority = aExchange.MatchedRoute().mPriority;
  request.mTreatment = mCore.mGroups.Of(GroupsOf(aExchange, mCore), mCore.Now());
  request.mSpillAt = SpillTime(aExchange, request.mTerms.mDeadline);
  return request;
}

void DirectPlacement::Wake(decide::Dispatcher::Number aNumber)
{
  auto timer = mTimers.find(aNumber);
  if (timer != mTimers.end()) {
    timer->second->cancel();
  }
}

Awaitable<void> DirectPlacement::WaitForCapacity(decide::Dispatcher::Number aNumber,
                                                 Instant aUntil)
{
  Duration wait = decide::Dispatcher::kPollInterval;
  if (aUntil > mCore.Now()) {
    wait = std::min(wait, aUntil - mCore.Now());
  }
  asio::steady_timer timer(mCore.mContext, wait);
  mTimers[aNumber] = &timer;
  boost::system::error_code cancelled;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
  mTimers.erase(aNumber);
}

// Records the end of a send, after which a leaving server needs no connections, and
// offers the capacity to the requests that wait for it.
void DirectPlacement::EndSend(const decide::ServerChoice& aChoice, SendResult aResult)
{
  mCore.mFleet.RecordResult(aChoice.mServer, aResult, mCore.Now(), aChoice.mFlight);
  if (mCore.mFleet.IsLeaving(*aChoice.mServer)) {
    mCore.mIdle.CloseAll(aChoice.mServer->Id());
  }
  mDispatcher.Offer(aChoice.mServer->mRegistration.mService, mCore.Now());
}

// Applies what a server says of itself. An answer from another server at the address
// speaks of the one that is registered there.
void DirectPlacement::RecordNotices(const decide::ServerPtr& aServer,
                                    const ServerAnswer& aAnswer)
{
  const decide::Registration& registration = aServer->mRegistration;
  if (aAnswer.mDraining && !aServer->mNotice.mLeaving) {
    base::Log(spdlog::level::info,
              base::Event::BackendServerLeaving,
              "server={} wrong_server={}",
              aServer->Id(),
              aAnswer.mWrongServer);
    mCore.mMetrics.CountNotice(ServerNotice::Leaving);
    mCore.mFleet.RecordLeaving(aServer, mCore.Now());
    if (aAnswer.mWrongServer) {
      mCore.mFleet.RecordLeavingAt(registration.mAddress, mCore.Now());
    }
  }
  if (!aAnswer.mPause) {
    return;
  }
  using std::chrono::milliseconds;
  base::Log(spdlog::level::info,
            base::Event::BackendServerPause,
            "server={} readable={} pause_ms={}",
            aServer->Id(),
            aAnswer.mPause->mReadable,
            std::chrono::duration_cast<milliseconds>(aAnswer.mPause->mPause).count());
  if (aAnswer.mPause->mPause > Duration::zero()) {
    mCore.mMetrics.CountNotice(ServerNotice::Pause);
    mCore.mFleet.RecordPause(aServer, aAnswer.mPause->mPause, mCore.Now());
  }
}

Awaitable<decide::ServerChoice> DirectPlacement::ChooseServer(Exchange& aExchange,
                                                              const Attempts& aAttempts)
{
  using Step = decide::Dispatcher::Step;
  mResolver.ResolveIfStale(aExchange);
  aExchange.mStep = ServeStep::Capacity;
  auto number = mDispatcher.NextNumber();
  for (;;) {
    decide::PlacementRequest request = RequestOf(aExchange, aAttempts);
    Instant spillAt = request.mSpillAt;
    auto decision = mDispatcher.Ask(number, std::move(request), mCore.Now());
    mCore.mRequestsWaiting = mDispatcher.Waiting();
    if (decision.mStep == Step::Start) {
      mCore.mReturns.Of(aExchange.ServiceName(), aExchange.MatchedRoute().mPriority)
        .RecordStart(mCore.Now());
      co_return decision.mChoice;
    }
    if (decision.mStep == Step::NoServer) {
      aExchange.mRetryAt =
        mCore.mFleet.FirstPauseEnd(QueryOf(aExchange, {}), mCore.Now());
      throw RequestError(Result::NoBackendServer);
    }
    if (decision.mStep == Step::Refuse) {
      LogRefusal(aExchange, QueryOf(aExchange, aAttempts));
      aExchange.mRoomExpectedIn = decision.mExpectedWait;
      throw RequestError(Result::QueueTimeout);
    }
    co_await WaitForCapacity(number, spillAt);
    ResumeAfterWait(aExchange, number);
  }
}

// Checks a request that waited. One that won't be sent leaves the queue.
void DirectPlacement::ResumeAfterWait(Exchange& aExchange,
                                      decide::Dispatcher::Number aNumber)
{
  if (aExchange.CallerDisconnected()) {
    mDispatcher.Leave(aNumber, mCore.Now());
    throw RequestError(Result::QueueTimeout);
  }
  if (aExchange.mConfig == mCore.Config()) {
    return;
  }
  mDispatcher.Leave(aNumber, mCore.Now());
  mResolver.ResolveIfStale(aExchange);
}

Awaitable<decide::Outcome> DirectPlacement::SendTo(Exchange& aExchange,
                                                   decide::ServerChoice aChoice,
                                                   Attempts& aAttempts)
{
  const decide::ServerPtr& server = aChoice.mServer;
  const decide::Registration& registration = server->mRegistration;
  BackendTarget target{ registration.mId,
                        registration.mAddress,
                        [&] { return mCore.mFleet.MaySend(*server, mCore.Now()); },
                        [&fleet = mCore.mFleet, server] {
                          return fleet.IsLeaving(*server);
                        } };
  ++aAttempts.mSends;
  aAttempts.mServers.push_back(server);
  Instant sent = mCore.Now();
  ServerAnswer answer;
  std::optional<RequestError> failure;
  try {
    answer = co_await mBackend.Call(
      aExchange, target, ConnectionReuse::Allowed, !IsIdempotent(aExchange));
  } catch (const RequestError& error) {
    failure = error;
  } catch (...) {
    EndSend(aChoice, SendResult::Cancelled);
    throw;
  }
  LogSend(aExchange, aChoice, sent, answer);
  if (failure) {
    EndSend(aChoice, ClassifyFailure(*failure, aExchange));
    throw RequestError(*failure);
  }
  if (answer.mLoad) {
    mCore.mFleet.RecordLoad(server, *answer.mLoad, mCore.Now() - sent, mCore.Now());
  }
  RecordNotices(server, answer);
  ClassifiedAnswer classified = ClassifyAnswer(answer);
  EndSend(aChoice, classified.mResult);
  if (classified.mCode != Result::Ok) {
    throw RequestError(classified.mCode);
  }
  mCore.mAnswerTimes.Record(RouteHash(aExchange), mCore.Now() - sent, mCore.Now());
  if (aChoice.mFlight.mWork > Duration::zero()) {
    mCore.mMetrics.ObserveForecast(aExchange.ServiceName(),
                                   aExchange.MatchedRoute().mPath,
                                   aChoice.mFlight.Expected(),
                                   mCore.Now() - sent);
  }
  aAttempts.mFailure.reset();
  if (answer.mServerFailed) {
    aAttempts.mFailure = answer.mOutcome;
  }
  co_return std::move(answer.mOutcome);
}

// Appends "server@data-centre:waited-ms:took-ms:running+waiting/slots" for each send,
// with the load that the server reported, and ":expected-ms" if the time was forecast.
void DirectPlacement::LogSend(Exchange& aExchange,
                              const decide::ServerChoice& aChoice,
                              Instant aSent,
                              const ServerAnswer& aAnswer) const
{
  using std::chrono::milliseconds;
  auto waited = std::chrono::duration_cast<milliseconds>(aSent - aExchange.mArrival);
  auto took = std::chrono::duration_cast<milliseconds>(mCore.Now() - aSent);
  decide::LoadReport load = aAnswer.mLoad.value_or(decide::LoadReport());
  aExchange.mSendLog += fmt::format("{}{}@{}:{}:{}:{}+{}/{}",
                                    aExchange.mSendLog.empty() ? "" : ",",
                                    aChoice.mServer->Id(),
                                    aChoice.mServer->mRegistration.mDataCentre,
                                    waited.count(),
                                    took.count(),
                                    load.mRunning,
                                    load.mWaiting,
                                    load.mSlots);
  if (aChoice.mFlight.mWork > Duration::zero()) {
    auto expected = std::chrono::duration_cast<milliseconds>(aChoice.mFlight.Expected());
    aExchange.mSendLog += fmt::format(":{}", expected.count());
  }
}

// Appends "server@data-centre:in-flight+others/slots:report-age-ms" for each server that
// had no free capacity. ":free" marks a server that had some but was excluded; the age is
// "-" if no report has arrived. "others" estimates the requests of other instances.
void DirectPlacement::LogRefusal(Exchange& aExchange,
                                 const decide::PlacementQuery& aQuery) const
{
  using std::chrono::milliseconds;
  for (const decide::CandidateState& state :
       mCore.mFleet.DescribeCandidates(aQuery, mCore.Now())) {
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
                                         state.mOtherLoad,
                                         registration.mSlots,
                                         age,
                                         state.mHasRoom ? ":free" : "");
  }
}

bool DirectPlacement::MayRetry(const Exchange& aExchange,
                               const Attempts& aAttempts,
                               Result aCode)
{
  bool mayRepeat = DidNotRun(aCode) || IsIdempotent(aExchange);
  if (!mayRepeat || aExchange.CallerDisconnected() ||
      mCore.Now() >= mCore.DeadlineOf(aExchange)) {
    return false;
  }
  if (WasNotSent(aCode)) {
    return aAttempts.mUnsent <= kMaxUnsent;
  }
  unsigned maxServers = std::max(1U, aExchange.MatchedRoute().mMaxServers);
  return aAttempts.mSends < maxServers &&
         mCore.mRetryBudget.Spend(aExchange.ServiceName());
}

// Tries one server after another as long as a retry is safe and allowed. The result means
// "not run" only if no server can have run the request.
Awaitable<decide::Outcome> DirectPlacement::Place(Exchange& aExchange)
{
  Attempts attempts;
  for (;;) {
    Result code = Result::Ok;
    bool refused = false; // by the configuration in force
    decide::Outcome outcome;
    try {
      decide::ServerChoice choice = co_await ChooseServer(aExchange, attempts);
      outcome = co_await SendTo(aExchange, std::move(choice), attempts);
    } catch (const ResolveError& error) {
      code = error.Code();
      refused = true;
    } catch (const RequestError& error) {
      code = error.Code();
    }
    bool failed = code == Result::Ok && attempts.mFailure;
    if (code == Result::Ok && !failed) {
      co_return outcome;
    }
    if (WasNotSent(code)) {
      ++attempts.mUnsent;
      --attempts.mSends;
    }
    attempts.mMayHaveRun = attempts.mMayHaveRun || failed || !DidNotRun(code);
    bool noServer = code == Result::QueueTimeout || code == Result::NoBackendServer;
    Result ended = failed ? Result::AnswerLost : code;
    if (!refused && !noServer && MayRetry(aExchange, attempts, ended)) {
      continue;
    }
    if (attempts.mFailure) {
      co_return std::move(*attempts.mFailure);
    }
    throw RequestError(DidNotRun(code) && attempts.mMayHaveRun ? Result::AnswerLost
                                                               : code);
  }
}

} // namespace vanillaloft::entry
