#include "entry/pipeline.h"

#include <algorithm>

#include <xxhash.h>

#include "decide/route.h"

namespace vanillaloft::entry {

using base::RequestError;
using decide::Origin;
using decide::Outcome;

namespace {

constexpr std::size_t kMostForwards = 3; // instances tried in one delivery
constexpr std::uint64_t kBytesPerKilobyte = 1000;

// Counts a request for as long as it runs, so that a planned stop can wait for it.
class RunningGuard
{
public:
  explicit RunningGuard(Core& aCore)
    : mCore(aCore)
  {
    ++mCore.mRequestsInFlight;
  }
  RunningGuard(const RunningGuard&) = delete;
  RunningGuard& operator=(const RunningGuard&) = delete;
  ~RunningGuard() { --mCore.mRequestsInFlight; }

private:
  Core& mCore;
};

std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

// The budget of the request's organisation; none if it has no organisation or no limit.
decide::BudgetId BudgetOf(const Exchange& aExchange)
{
  return aExchange.mOrganisation.IsNone()
           ? decide::BudgetId()
           : aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mBudget;
}

// -1 for what was never read.
long long AgeMilliseconds(Duration aAge)
{
  return aAge == Duration::max()
           ? -1
           : std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
}

// An order with a ticket may have run at an earlier try, which an instance that is not
// ready has not looked up.
Result Promised(Result aCode, const Exchange& aExchange)
{
  bool lookedUp = aCode != Result::NotReady || aExchange.mTicket.empty();
  return lookedUp ? aCode : Result::OutcomeUnknown;
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
  RunningGuard running(mCore);
  Outcome outcome;
  try {
    for (const FilterRow& row : kFilters) {
      co_await (this->*row.mFilter)(aExchange);
    }
    outcome = co_await Place(aExchange);
  } catch (const RequestError& error) {
    if (base::InfoOf(error.Code()).mExecuted == base::Executed::No) {
      TakeBackPayment(aExchange);
    }
    Refuse(aExchange, Promised(error.Code(), aExchange), outcome);
  }
  Record(aExchange, outcome);
  co_return outcome;
}

// A request that did not run leaves its organisation's limit to others. Otherwise callers
// who are refused for want of room and ask again would use the limit up without an
// answer.
void Pipeline::TakeBackPayment(const Exchange& aExchange)
{
  if (!aExchange.mDebitedBudget.IsNone() && aExchange.mConfig == mCore.Config()) {
    mCore.mShares.Refund(aExchange.mDebitedBudget, decide::kToken, mCore.Now());
  }
}

void Pipeline::Refuse(const Exchange& aExchange, Result aCode, Outcome& aOutcome)
{
  aOutcome.mResult = aCode;
  if (base::InfoOf(aCode).mExecuted == base::Executed::No) {
    aOutcome.mRetryAfter = decide::RetryAfter(aCode, HashOf(aExchange.mRequestId));
  }
}

void Pipeline::Record(const Exchange& aExchange, const Outcome& aOutcome)
{
  std::string service =
    aExchange.mService.IsNone()
      ? ""
      : aExchange.mConfig->mServices[aExchange.mService.Value()].mName;
  Duration took = mCore.Now() - aExchange.mArrival;
  mCore.mMetrics.CountRequest(service, aOutcome.mResult, took);
  base::Log(
    spdlog::level::info,
    base::Event::RequestEnded,
    "request={} service={} organisation={} object={} result={} status={} took_ms={} "
    "sends={} no_room={} registrations_ms={}",
    aExchange.mRequestId,
    service,
    aExchange.OrganisationNameOr("-"),
    aExchange.mObject,
    base::InfoOf(aOutcome.mResult).mName,
    aOutcome.mStatus,
    std::chrono::duration_cast<std::chrono::milliseconds>(took).count(),
    aExchange.mSendLog,
    aExchange.mRefusalLog,
    AgeMilliseconds(mCore.RegistrationsAge()));
}

decide::OrganisationId Pipeline::Identify(const std::string& aKey) const
{
  if (!mCore.IsReady()) {
    throw RequestError(Result::NotReady);
  }
  decide::OrganisationId organisation = mCore.Config()->FindKey(decide::DigestKey(aKey));
  if (organisation.IsNone()) {
    throw RequestError(Result::KeyUnknown);
  }
  bool refuses = mCore.Config()->mOrganisations[organisation.Value()].mIsolatedKeys ==
                 decide::IsolatedKeys::Refuse;
  if (refuses && mCore.KeysUnconfirmed()) {
    throw RequestError(Result::KeysUnconfirmed);
  }
  return organisation;
}

// Run at arrival and again whenever the configuration changed while the request waited,
// so that a key that was withdrawn meanwhile is refused also then.
void Pipeline::Resolve(Exchange& aExchange) const
{
  if (!mCore.IsReady()) {
    throw RequestError(Result::NotReady);
  }
  aExchange.mConfig = mCore.Config();
  aExchange.mDebitedBudget = {}; // an index of the configuration before
  std::string_view path =
    std::string_view(aExchange.mTarget).substr(0, aExchange.mTarget.find('?'));
  aExchange.mRoute = aExchange.mConfig->FindRoute(aExchange.mHost, path);
  if (aExchange.mRoute.IsNone()) {
    aExchange.mService = {};
    throw RequestError(Result::UnknownRoute);
  }
  const decide::Route& route = aExchange.MatchedRoute();
  aExchange.mService = decide::SelectService(route, HashOf(aExchange.mRequestId));
  bool reads = aExchange.mMethod == "GET" || aExchange.mMethod == "HEAD";
  bool writes = aExchange.mMethod == "POST" || aExchange.mMethod == "PUT";
  bool fits = route.mKind == decide::RouteKind::Order
                ? writes
                : reads || aExchange.mMethod == "POST";
  if (!fits && !route.mAnyMethod) {
    throw RequestError(Result::MethodNotAllowed);
  }
  Authenticate(aExchange);
}

void Pipeline::Authenticate(Exchange& aExchange) const
{
  if (!aExchange.MatchedRoute().NeedsKey()) {
    aExchange.mOrganisation = {};
  } else if (!aExchange.mOrganisationName.empty()) {
    aExchange.mOrganisation =
      aExchange.mConfig->FindOrganisation(aExchange.mOrganisationName);
    if (aExchange.mOrganisation.IsNone()) {
      throw RequestError(Result::KeyUnknown);
    }
  } else if (!aExchange.mHasKey) {
    throw RequestError(Result::KeyMissing);
  } else {
    aExchange.mOrganisation = Identify(aExchange.mKey);
  }
}

Awaitable<void> Pipeline::RouteFilter(Exchange& aExchange)
{
  Resolve(aExchange);
  const decide::Profile& profile = aExchange.mConfig->ProfileOf(aExchange.mService);
  Duration timeout = aExchange.MatchedRoute().mTimeout;
  timeout = timeout > Duration::zero() ? timeout : profile.mDeadline;
  aExchange.mDeadline = aExchange.mArrival + std::min(timeout, aExchange.mCallerTimeout);
  mCore.mRetryBudget.Earn(
    aExchange.ServiceName(), profile.mRetryPercent, mCore.RetryBudgetCap());
  co_return;
}

Awaitable<void> Pipeline::LimitFilter(Exchange& aExchange)
{
  if (aExchange.mOrganisation.IsNone()) {
    co_return;
  }
  decide::BudgetId budget = BudgetOf(aExchange);
  Instant until =
    aExchange.mArrival + aExchange.mConfig->ProfileOf(aExchange.mService).mQueueTime;
  while (!budget.IsNone() &&
         !co_await mAdmission.TakeTokens(budget, decide::kToken, until)) {
    if (aExchange.mConfig == mCore.Config()) {
      throw RequestError(Result::RateExceeded);
    }
    Resolve(aExchange);
    budget = BudgetOf(aExchange);
  }
  aExchange.mDebitedBudget = budget;
}

Awaitable<Outcome> Pipeline::Place(Exchange& aExchange)
{
  if (aExchange.mConfig != mCore.Config()) {
    Resolve(aExchange);
  }
  if (mPlacement) {
    co_return co_await mPlacement->Place(aExchange);
  }
  if (aExchange.MatchedRoute().mKind == decide::RouteKind::Order) {
    co_return co_await PlaceOrder(aExchange);
  }
  co_return co_await DeliverWithRetries(aExchange, false);
}

Awaitable<Outcome> Pipeline::PlaceOrder(Exchange& aExchange)
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
  co_return co_await RelayToIssuer(aExchange, ticket->mIssuer.mAddress);
}

// An issuer that cannot be asked may have run the order before, so no answer of "not run"
// can be given for it.
Awaitable<Outcome> Pipeline::RelayToIssuer(Exchange& aExchange, std::string aIssuer)
{
  if (!mCore.mMembers.Addresses().contains(aIssuer)) {
    throw RequestError(Result::OutcomeUnknown);
  }
  try {
    co_return co_await ForwardTo(aExchange, aIssuer, true);
  } catch (const RequestError& error) {
    bool issuerSpoke =
      error.Code() != Result::NotConnected && error.Code() != Result::AnswerLost;
    throw RequestError(issuerSpoke ? error.Code() : Result::OutcomeUnknown);
  }
}

Awaitable<Outcome> Pipeline::RunIssuedOrder(Exchange& aExchange)
{
  std::string organisation =
    aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mName;
  std::string digest = decide::DigestText(aExchange.mMethod + " " + aExchange.mTarget +
                                          "\n" + aExchange.mBody);
  decide::TicketDecision admission =
    mCore.mLedger.Admit(aExchange.mTicket, organisation, digest, mCore.Now());
  if (admission.mKind == decide::TicketDecision::Kind::Refuse) {
    throw RequestError(admission.mRefusal);
  }
  if (admission.mKind == decide::TicketDecision::Kind::Repeat) {
    co_return admission.mOutcome;
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
    spdlog::error("order failed: {}", error.what());
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
    } catch (const RequestError& error) {
      if (left == 0 || !MayRetry(error, aOrder) ||
          !mCore.mRetryBudget.Spend(aExchange.ServiceName())) {
        throw;
      }
      --left;
    }
  }
}

// One delivery: the planned shift first, then the nearest free slot; a short wait here is
// tried before the request leaves the data centre, because a hop between regions costs
// more.
Awaitable<Outcome> Pipeline::Deliver(Exchange& aExchange, bool aOrder)
{
  if (aExchange.mConfig != mCore.Config()) {
    Resolve(aExchange);
  }
  if (mCore.Now() >= aExchange.mDeadline) {
    throw RequestError(Result::DeadlineBeforeStart);
  }
  decide::ServiceId service = aExchange.mService;
  if (auto target = mCore.mSteer.DrawShift(service)) {
    auto moved = mCore.mSteer.InstancesOf(*target, service, mCore.mMembers, mCore.Now());
    if (auto outcome = co_await TryElsewhere(aExchange, moved, aOrder)) {
      co_return *outcome;
    }
  }
  if (auto slot = mAdmission.TakeSlot(service, Origin::Local)) {
    co_return co_await SendToSlot(aExchange, *slot, aOrder);
  }
  auto mates = mCore.mSteer.InstancesOf(
    mCore.mSteer.OwnDataCentre(), service, mCore.mMembers, mCore.Now());
  if (auto outcome = co_await TryElsewhere(aExchange, mates, aOrder)) {
    co_return *outcome;
  }
  bool waits = mCore.mSteer.UsableSlots(service, mCore.Now()) > 0;
  if (waits) {
    Duration queueTime = mCore.Config()->ProfileOf(service).mQueueTime;
    Instant until = std::min(mCore.Now() + queueTime, aExchange.mDeadline);
    auto slot = co_await mAdmission.WaitForSlot(service, aExchange.mOrganisation, until);
    if (slot) {
      co_return co_await SendToSlot(aExchange, *slot, aOrder);
    }
  }
  auto elsewhere = mCore.mSteer.ForwardTargets(service, mCore.mMembers, mCore.Now());
  if (auto outcome = co_await TryElsewhere(aExchange, elsewhere, aOrder)) {
    co_return *outcome;
  }
  throw RequestError(waits ? Result::QueueTimeout : Result::NoBackendServer);
}

// Tries instances one after the other for as long as each one says that nothing ran.
Awaitable<std::optional<Outcome>> Pipeline::TryElsewhere(
  Exchange& aExchange,
  std::vector<std::string> aAddresses,
  bool aOrder)
{
  aAddresses.resize(std::min(aAddresses.size(), kMostForwards));
  for (const std::string& address : aAddresses) {
    if (!co_await PayForRegion(aExchange, address)) {
      continue;
    }
    try {
      co_return co_await ForwardTo(aExchange, address, aOrder);
    } catch (const RequestError& error) {
      bool notRun = base::InfoOf(error.Code()).mExecuted == base::Executed::No;
      if (!notRun || error.Code() == Result::DeadlineBeforeStart) {
        throw;
      }
    }
  }
  co_return std::nullopt;
}

// Traffic into another region spends that region's spill budget and the link's bandwidth.
Awaitable<bool> Pipeline::PayForRegion(const Exchange& aExchange,
                                       const std::string& aAddress)
{
  const decide::Config& config = *mCore.Config();
  const decide::Member* member = mCore.mMembers.Find(aAddress);
  decide::DataCentreId to =
    member ? config.FindDataCentre(member->mStatus.mDataCentre) : decide::DataCentreId();
  decide::DataCentreId from = mCore.mSteer.OwnDataCentre();
  if (to.IsNone() || from.IsNone()) {
    co_return false;
  }
  const decide::Region& toRegion =
    config.mRegions[config.mDataCentres[to.Value()].mRegion.Value()];
  const decide::Region& fromRegion =
    config.mRegions[config.mDataCentres[from.Value()].mRegion.Value()];
  if (toRegion.mName == fromRegion.mName) {
    co_return true;
  }
  decide::ConfigPtr keep = mCore.Config();
  std::string link = fromRegion.mName + ">" + toRegion.mName;
  std::string target = toRegion.mName;
  auto kilobytes =
    static_cast<decide::MicroTokens>(aExchange.mBody.size() / kBytesPerKilobyte + 1);
  for (std::size_t i = 0; i < keep->mBudgets.size() && keep == mCore.Config(); ++i) {
    const decide::Budget& budget = keep->mBudgets[i];
    bool spill = budget.mKind == decide::BudgetKind::Spill && budget.mName == target;
    bool onLink = budget.mKind == decide::BudgetKind::Link && budget.mName == link;
    if (!spill && !onLink) {
      continue;
    }
    decide::MicroTokens amount = spill ? decide::kToken : kilobytes * decide::kToken;
    if (!co_await mAdmission.TakeTokens(decide::BudgetId(i), amount, mCore.Now())) {
      co_return false;
    }
  }
  co_return true;
}

Awaitable<Outcome> Pipeline::ForwardTo(Exchange& aExchange,
                                       std::string aAddress,
                                       bool aOrder)
{
  peer::wire::ForwardRequest request;
  request.set_request_id(aExchange.mRequestId);
  if (!aExchange.mOrganisation.IsNone()) {
    request.set_organisation(
      aExchange.mConfig->mOrganisations[aExchange.mOrganisation.Value()].mName);
  }
  request.set_method(aExchange.mMethod);
  request.set_target(aExchange.mTarget);
  request.set_content_type(aExchange.mContentType);
  request.set_body(aExchange.mBody);
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aExchange.mDeadline -
                                                                    mCore.Now());
  if (left.count() <= 0) {
    throw RequestError(Result::DeadlineBeforeStart);
  }
  request.set_deadline_ms(static_cast<std::uint64_t>(left.count()));
  request.set_ticket(aExchange.mTicket);
  request.set_order(aOrder);
  request.set_data_centre(mCore.mSettings.mDataCentre);
  peer::wire::ForwardReply reply;
  try {
    reply = co_await mCore.mPeers.Forward(aAddress, std::move(request), left);
  } catch (const peer::PeerError& error) {
    throw RequestError(error.MayHaveArrived() ? Result::AnswerLost
                                              : Result::NotConnected);
  }
  auto result = static_cast<Result>(reply.result());
  if (result != Result::Ok) {
    throw RequestError(result);
  }
  co_return Outcome{ result, reply.status(), reply.content_type(), reply.body(), {}, {} };
}

Awaitable<Outcome> Pipeline::SendToSlot(Exchange& aExchange,
                                        decide::Slot aSlot,
                                        bool aOrder)
{
  decide::AttemptOutcome ending = decide::AttemptOutcome::NotSent;
  try {
    Outcome outcome = co_await mBackend.Send(aExchange, aSlot, aOrder, ending);
    mAdmission.Release(aSlot, ending);
    co_return outcome;
  } catch (...) {
    mAdmission.Release(aSlot, ending);
    throw;
  }
}

// A request from a peer goes to an owned backend server or back: it is never passed on.
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
