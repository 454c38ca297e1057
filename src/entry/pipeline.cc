#include "entry/pipeline.h"

#include <algorithm>

#include "decide/hash.h"
#include "decide/route.h"

namespace vanillaloft::entry {

using base::RequestError;
using decide::Origin;
using decide::Outcome;

namespace {

// Time that a request may need, in latency targets of its route. A server that is cold or
// busy takes longer than one target.
constexpr int kStopLatencyTargets = 2;

// What callers that tell no timeout are assumed to wait.
constexpr Duration kLongestCallerTime = std::chrono::minutes(1);

// Returns the budget of the request's organisation; none if the request has no
// organisation or the organisation has no limit.
decide::BudgetId BudgetOf(const Exchange& aExchange)
{
  return aExchange.mOrganisation.IsNone()
           ? decide::BudgetId()
           : aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mBudget;
}

// Returns -1 for Duration::max(), the age of data that was never read.
long long AgeInMilliseconds(Duration aAge)
{
  return aAge == Duration::max()
           ? -1
           : std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
}

// True for refusals that do not depend on the request, such as a lack of tokens: the same
// request may be accepted later. Such a refusal is made before a ticket is checked.
bool IsTemporary(Result aRefusal)
{
  return decide::RetryAfter(aRefusal, 0) > Duration::zero() ||
         aRefusal == Result::DeadlineBeforeStart;
}

// The log field of a refusal by a rate.
const char* TokensLog(const Exchange& aExchange)
{
  if (!aExchange.mTokensElsewhere) {
    return "";
  }
  return *aExchange.mTokensElsewhere ? "elsewhere" : "none";
}

CallerEnd EndOf(const Exchange& aExchange, Result aResult, Duration aLatency)
{
  Duration target = aExchange.MatchedRoute().mLatencyTarget;
  switch (aResult) {
    case Result::Ok:
      return target > Duration::zero() && aLatency > target ? CallerEnd::Late
                                                            : CallerEnd::InTime;
    case Result::RateExceeded:
      return CallerEnd::OverRate;
    case Result::QueueTimeout:
    case Result::QueueFull:
    case Result::BackendServerShed:
    case Result::NoBackendServer:
      return CallerEnd::NoCapacity;
    default:
      return CallerEnd::Unserved;
  }
}

bool MayRetry(const RequestError& aError, bool aOrder)
{
  if (aError.Code() == Result::DeadlineBeforeStart ||
      aError.Code() == Result::AnswerTimeout || aError.Code() == Result::KeyUnknown) {
    return false;
  }
  return !aOrder || base::InfoOf(aError.Code()).mExecuted == base::Executed::No;
}

} // namespace

const Pipeline::FilterRow Pipeline::kFilters[] = {
  { "route", &Pipeline::RouteFilter },
  { "limit", &Pipeline::LimitFilter },
};

Awaitable<Outcome> Pipeline::Serve(Exchange aExchange)
{
  HeldRequests::Registration held(mCore.mHeld, &aExchange);
  if (aExchange.mCaller) {
    aExchange.mCaller->mRequestId = aExchange.mRequestId;
  }
  Outcome outcome;
  try {
    for (const FilterRow& row : kFilters) {
      co_await (this->*row.mFilter)(aExchange);
    }
    outcome = co_await Place(aExchange);
  } catch (const RequestError& error) {
    if (base::InfoOf(error.Code()).mExecuted == base::Executed::No) {
      RefundToken(aExchange);
    }
    Result code = CutByStop(aExchange, error.Code()) ? Result::NotReady : error.Code();
    SetRefusal(aExchange, ResultForCaller(code, aExchange), outcome);
  }
  RecordOutcome(aExchange, outcome);
  co_return outcome;
}

// An order with a ticket may have run at an earlier attempt, also at another instance or
// before this one was started. Until the ticket's issuer has said that it did not, a
// refusal must not say so.
Result Pipeline::ResultForCaller(Result aCode, const Exchange& aExchange)
{
  bool mayBeOrder = aExchange.mRoute.IsNone() ||
                    aExchange.MatchedRoute().mKind == decide::RouteKind::Order;
  if (aExchange.mTicket.empty() || !mayBeOrder || !IsTemporary(aCode) ||
      aExchange.mIssuerAnswered) {
    return aCode;
  }
  const std::string& forwarded = aExchange.mOrganisationName;
  bool notRun = mCore.mLedger.IsNotRun(
    aExchange.mTicket, aExchange.OrganisationNameOr(forwarded.c_str()), mCore.Now());
  return notRun ? aCode : Result::OutcomeUnknown;
}

// Returns whether only the planned stop ended the wait of a request for its start. Its
// own time may have sufficed, at another instance as well.
bool Pipeline::CutByStop(const Exchange& aExchange, Result aCode) const
{
  return aCode == Result::DeadlineBeforeStart &&
         mCore.mStop.IsOver(decide::StopWait::Start, mCore.Now()) &&
         mCore.Now() < aExchange.mDeadline;
}

// Returns the token of a request that did not run to its organisation's budget. Otherwise
// callers that are refused for lack of capacity and retry would use up the limit without
// a response.
void Pipeline::RefundToken(const Exchange& aExchange)
{
  if (!aExchange.mDebitedBudget.IsNone() && aExchange.mConfig == mCore.Config()) {
    mCore.mShares.Refund(aExchange.mDebitedBudget, decide::kToken, mCore.Now());
  }
}

void Pipeline::SetRefusal(const Exchange& aExchange, Result aCode, Outcome& aOutcome)
{
  aOutcome.mResult = aCode;
  if (base::InfoOf(aCode).mExecuted == base::Executed::No) {
    aOutcome.mRetryAfter = RetryAfter(aExchange, aCode);
  }
}

// The time after which the caller of a refused request should return: at the end of the
// pause that the servers asked for, or else at the time that the schedule of the capacity
// gives. Without either a default that depends on the refusal.
Duration Pipeline::RetryAfter(const Exchange& aExchange, Result aCode)
{
  Instant now = mCore.Now();
  std::uint64_t hash = decide::HashOf(aExchange.mRequestId);
  if (aExchange.mRetryAt > now) {
    return decide::RetryAfterPause(aExchange.mRetryAt - now, hash);
  }
  Duration usual = decide::RetryAfter(aCode, hash);
  Duration left = std::min(aExchange.CallerTimeLeft(now), kLongestCallerTime);
  if (auto* schedule = ScheduleFor(aExchange, aCode)) {
    Duration least = std::max(aExchange.mRoomExpectedIn, decide::kMinReturnDelay);
    Duration elapsed = aExchange.mSinceFirst + (now - aExchange.mArrival);
    if (auto booked = schedule->Book(least, left, elapsed, now)) {
      return *booked;
    }
  }
  return decide::LimitToHonoured(usual, left);
}

// The schedule of the capacity that a refused request lacked; null for other refusals.
decide::ReturnSchedule* Pipeline::ScheduleFor(const Exchange& aExchange, Result aCode)
{
  bool capacity = aCode == Result::QueueTimeout || aCode == Result::QueueFull ||
                  aCode == Result::BackendServerShed;
  bool returns = !aExchange.CallerDisconnected();
  if (!capacity || !returns || aExchange.mService.IsNone()) {
    return nullptr;
  }
  return &mCore.mReturns.Of(aExchange.ServiceName(), aExchange.MatchedRoute().mPriority);
}

void Pipeline::RecordOutcome(const Exchange& aExchange, const Outcome& aOutcome)
{
  std::string service =
    aExchange.mService.IsNone()
      ? ""
      : aExchange.mConfig->mServices[aExchange.mService.Value()].mName;
  Duration latency = mCore.Now() - aExchange.mArrival;
  mCore.mMetrics.CountRequest(service, aOutcome.mResult, latency);
  RecordCaller(aExchange, aOutcome.mResult, latency);
  base::Log(
    spdlog::level::info,
    base::Event::RequestEnded,
    "request={} service={} organisation={} object={} result={} status={} took_ms={} "
    "since_first_ms={} retry_after_ms={} sends={} no_room={} tokens={} "
    "registrations_ms={}",
    aExchange.mRequestId,
    service,
    aExchange.OrganisationNameOr("-"),
    aExchange.mObject,
    base::InfoOf(aOutcome.mResult).mName,
    aOutcome.mStatus,
    std::chrono::duration_cast<std::chrono::milliseconds>(latency).count(),
    std::chrono::duration_cast<std::chrono::milliseconds>(aExchange.mSinceFirst).count(),
    std::chrono::duration_cast<std::chrono::milliseconds>(aOutcome.mRetryAfter).count(),
    aExchange.mSendLog,
    aExchange.mRefusalLog,
    TokensLog(aExchange),
    AgeInMilliseconds(mCore.RegistrationsAge()));
}

// Records how a request ended for the groups of its caller. Their shares are those of the
// requests that competed for capacity.
void Pipeline::RecordCaller(const Exchange& aExchange, Result aResult, Duration aLatency)
{
  if (aExchange.mService.IsNone()) {
    return;
  }
  decide::RequestGroups groups = GroupsOf(aExchange, mCore);
  CallerEnd end = EndOf(aExchange, aResult, aLatency);
  mCore.mMetrics.CountCaller(groups, end);
  bool served = aResult == Result::Ok;
  if (served || end == CallerEnd::NoCapacity) {
    bool repeat = aExchange.mSinceFirst > Duration::zero();
    mCore.mGroups.Record(groups, served, repeat, mCore.Now());
  }
}

Awaitable<void> Pipeline::RouteFilter(Exchange& aExchange)
{
  mResolver.Resolve(aExchange);
  const decide::Profile& profile = aExchange.mConfig->ProfileOf(aExchange.mService);
  Duration timeout = aExchange.MatchedRoute().mTimeout;
  timeout = timeout > Duration::zero() ? timeout : profile.mDeadline;
  aExchange.mDeadline = aExchange.mArrival + std::min(timeout, aExchange.mCallerTimeout);
  EstimateFirstAttempt(aExchange);
  RefuseBeyondStop(aExchange);
  mCore.mRetryBudget.Earn(
    aExchange.ServiceName(), profile.mRetryPercent, mCore.RetryBudgetCap());
  co_return;
}

void Pipeline::EstimateFirstAttempt(Exchange& aExchange)
{
  if (aExchange.mCallerTimeout == Duration::max()) {
    return;
  }
  const decide::Route& route = aExchange.MatchedRoute();
  aExchange.mSinceFirst = mCore.mCallerTimeouts.Elapsed(
    decide::HashOf(route.mHost + route.mPath), aExchange.mCallerTimeout, mCore.Now());
}

// During a planned stop, refuses a request that arrives and is not expected to get its
// response in the time left. One that is cut off at the end of the stop would have an
// unknown outcome.
void Pipeline::RefuseBeyondStop(const Exchange& aExchange) const
{
  Duration expected = kStopLatencyTargets * aExchange.MatchedRoute().mLatencyTarget;
  if (mCore.mStop.IsOver(decide::StopWait::Start, mCore.Now() + expected)) {
    throw RequestError(Result::NotReady);
  }
}

Awaitable<void> Pipeline::LimitFilter(Exchange& aExchange)
{
  if (aExchange.mOrganisation.IsNone()) {
    co_return;
  }
  aExchange.mStep = ServeStep::Tokens;
  decide::BudgetId budget = BudgetOf(aExchange);
  Instant until =
    aExchange.mArrival + aExchange.mConfig->ProfileOf(aExchange.mService).mQueueTime;
  while (!budget.IsNone()) {
    if (co_await mAdmission.mTokens.Take(budget, decide::kToken, until)) {
      break;
    }
    if (aExchange.mConfig == mCore.Config()) {
      if (mCore.mStop.Limit(decide::StopWait::Start, until) < until) {
        throw RequestError(Result::NotReady); // another instance may have tokens in time
      }
      bool elsewhere = mAdmission.mTokens.OthersMaySpare(budget);
      aExchange.mTokensElsewhere = elsewhere;
      mCore.mMetrics.CountLimitRefusal(elsewhere);
      throw RequestError(Result::RateExceeded);
    }
    mResolver.Resolve(aExchange);
    budget = BudgetOf(aExchange);
  }
  aExchange.mDebitedBudget = budget;
}

Awaitable<Outcome> Pipeline::Place(Exchange& aExchange)
{
  mResolver.ResolveIfStale(aExchange);
  if (mPlacement) {
    co_return co_await mPlacement->Place(aExchange);
  }
  if (aExchange.MatchedRoute().mKind == decide::RouteKind::Order) {
    co_return co_await DispatchOrder(aExchange);
  }
  co_return co_await DeliverWithRetries(aExchange, false);
}

Awaitable<Outcome> Pipeline::DispatchOrder(Exchange& aExchange)
{
  if (aExchange.mTicket.empty()) {
    throw RequestError(Result::TicketMissing);
  }
  auto ticket = decide::Ticket::Parse(aExchange.mTicket);
  if (!ticket) {
    throw RequestError(Result::TicketInvalid);
  }
  if (ticket->mIssuer.mAddress == mCore.Self().mAddress) {
    co_return co_await RunIssuedOrder(aExchange);
  }
  co_return co_await ForwardToIssuer(aExchange, ticket->mIssuer.mAddress);
}

// An issuer that cannot be reached may have run the order at an earlier attempt, so the
// result is then OutcomeUnknown and never one that means "not run".
Awaitable<Outcome> Pipeline::ForwardToIssuer(Exchange& aExchange, std::string aIssuer)
{
  if (!mCore.mMembers.Addresses().contains(aIssuer)) {
    throw RequestError(Result::OutcomeUnknown);
  }
  try {
    co_return co_await mForwarder.ForwardTo(aExchange, aIssuer, true);
  } catch (const RequestError& error) {
    aExchange.mIssuerAnswered = error.Code() != Result::NotConnected &&
                                error.Code() != Result::AnswerLost &&
                                error.Code() != Result::DeadlineBeforeStart;
    throw RequestError(aExchange.mIssuerAnswered ? error.Code() : Result::OutcomeUnknown);
  }
}

Awaitable<Outcome> Pipeline::RunIssuedOrder(Exchange& aExchange)
{
  std::string organisation =
    aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mName;
  std::string digest = decide::DigestText(aExchange.mMethod + " " + aExchange.mTarget +
                                          "\n" + aExchange.mBody);
  decide::TicketDecision decision =
    mCore.mLedger.Admit(aExchange.mTicket, organisation, digest, mCore.Now());
  if (decision.mKind == decide::TicketDecision::Kind::Refuse) {
    throw RequestError(decision.mRefusal);
  }
  if (decision.mKind == decide::TicketDecision::Kind::Repeat) {
    co_return decision.mOutcome;
  }
  std::uint64_t sequence = decide::Ticket::Parse(aExchange.mTicket)->mSequence;
  try {
    Outcome outcome = co_await DeliverWithRetries(aExchange, true);
    mCore.mLedger.Finish(sequence, outcome);
    co_return outcome;
  } catch (const RequestError& error) {
    if (base::InfoOf(error.Code()).mExecuted == base::Executed::No) {
      mCore.mLedger.Release(sequence);
      throw;
    }
  } catch (const std::exception& error) {
    spdlog::error("order failed with an unexpected error: {}", error.what());
  }
  mCore.mLedger.Finish(sequence, Outcome{ Result::OutcomeUnknown, 0, {}, {}, {}, {} });
  throw RequestError(Result::OutcomeUnknown);
}

Awaitable<Outcome> Pipeline::DeliverWithRetries(Exchange& aExchange, bool aOrder)
{
  unsigned left = aExchange.mConfig->ProfileOf(aExchange.mService).mRetries;
  for (;;) {
    try {
      co_return co_await Deliver(aExchange, aOrder);
    } catch (const ResolveError&) {
      throw;
    } catch (const RequestError& error) {
      if (left == 0 || !MayRetry(error, aOrder) ||
          !mCore.mRetryBudget.Spend(aExchange.ServiceName())) {
        throw;
      }
      --left;
    }
  }
}

// Makes one delivery attempt. A planned shift comes first, then the nearest free slot. A
// request waits for a short time in its own data centre before it is sent to another one,
// because a hop between regions costs more. The configuration may change during each
// wait, and the request's indexes are used only with the tables that they refer to.
Awaitable<Outcome> Pipeline::Deliver(Exchange& aExchange, bool aOrder)
{
  mResolver.ResolveIfStale(aExchange);
  if (mCore.Now() >= mCore.DeadlineOf(aExchange)) {
    throw RequestError(Result::DeadlineBeforeStart);
  }
  if (auto target = mCore.mSteer.DrawShift(aExchange.mService)) {
    auto shiftTargets =
      mCore.mSteer.InstancesOf(*target, aExchange.mService, mCore.mMembers, mCore.Now());
    if (auto outcome = co_await mForwarder.TryPeers(aExchange, shiftTargets, aOrder)) {
      co_return *outcome;
    }
    mResolver.ResolveIfStale(aExchange);
  }
  if (auto slot = mAdmission.TakeSlot(aExchange.mService, Origin::Local)) {
    co_return co_await SendToSlot(aExchange, *slot, aOrder);
  }
  auto localPeers = mCore.mSteer.InstancesOf(
    mCore.mSteer.OwnDataCentre(), aExchange.mService, mCore.mMembers, mCore.Now());
  if (auto outcome = co_await mForwarder.TryPeers(aExchange, localPeers, aOrder)) {
    co_return *outcome;
  }
  mResolver.ResolveIfStale(aExchange);
  bool mayWait = mCore.mSteer.UsableSlots(aExchange.mService, mCore.Now()) > 0;
  if (mayWait) {
    Duration queueTime = aExchange.mConfig->ProfileOf(aExchange.mService).mQueueTime;
    Instant until = std::min(mCore.Now() + queueTime, mCore.DeadlineOf(aExchange));
    aExchange.mStep = ServeStep::Capacity;
    auto slot =
      co_await mAdmission.WaitForSlot(aExchange.mService, aExchange.mOrganisation, until);
    if (slot) {
      co_return co_await SendToSlot(aExchange, *slot, aOrder);
    }
    mResolver.ResolveIfStale(aExchange);
  }
  auto remotePeers =
    mCore.mSteer.ForwardTargets(aExchange.mService, mCore.mMembers, mCore.Now());
  if (auto outcome = co_await mForwarder.TryPeers(aExchange, remotePeers, aOrder)) {
    co_return *outcome;
  }
  throw RequestError(mayWait ? Result::QueueTimeout : Result::NoBackendServer);
}

Awaitable<Outcome> Pipeline::SendToSlot(Exchange& aExchange,
                                        decide::Slot aSlot,
                                        bool aOrder)
{
  decide::AttemptOutcome attemptOutcome = decide::AttemptOutcome::NotSent;
  try {
    Outcome outcome = co_await mBackend.Send(aExchange, aSlot, aOrder, attemptOutcome);
    mAdmission.Release(aSlot, attemptOutcome);
    co_return outcome;
  } catch (...) {
    mAdmission.Release(aSlot, attemptOutcome);
    throw;
  }
}

// A request from a peer is sent to a backend server of this instance or refused. It is
// never forwarded again.
Awaitable<Outcome> Pipeline::DeliverForPeer(Exchange& aExchange,
                                            Origin aOrigin,
                                            bool aOrder)
{
  auto slot = mAdmission.TakeSlot(aExchange.mService, aOrigin);
  if (!slot) {
    throw RequestError(Result::NoBackendServer);
  }
  co_return co_await SendToSlot(aExchange, *slot, aOrder);
}

} // namespace vanillaloft::entry
