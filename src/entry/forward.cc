#include "entry/forward.h"

#include <algorithm>

namespace vanillaloft::entry {

using base::RequestError;
using decide::Outcome;

namespace {

constexpr std::size_t kMaxForwards = 3; // instances tried in one delivery
constexpr std::uint64_t kBytesPerKilobyte = 1000;

// Returns whether a peer's reply is one that an instance sends: a known result and, if
// that is Ok, a response that can be passed on.
bool IsValid(const peer::wire::ForwardReply& aReply)
{
  if (aReply.result() != static_cast<std::uint32_t>(Result::Ok)) {
    return std::ranges::any_of(base::AllResults(), [&](const base::ResultInfo& aInfo) {
      return static_cast<std::uint32_t>(aInfo.mCode) == aReply.result();
    });
  }
  return aReply.status() >= net::kMinFinalStatus && aReply.status() <= net::kMaxStatus &&
         !net::HasControl(aReply.content_type());
}

} // namespace

Awaitable<std::optional<Outcome>> Forwarder::TryPeers(Exchange& aExchange,
                                                      std::vector<std::string> aAddresses,
                                                      bool aOrder)
{
  aAddresses.resize(std::min(aAddresses.size(), kMaxForwards));
  for (const std::string& address : aAddresses) {
    if (!co_await DebitRegionBudgets(aExchange, address)) {
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

// Takes tokens for a request into another region: from that region's spillover budget and
// from the bandwidth budget of the link. Returns false if either is exhausted or a data
// centre is unknown.
Awaitable<bool> Forwarder::DebitRegionBudgets(const Exchange& aExchange,
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
  decide::ConfigPtr heldConfig = mCore.Config();
  std::string link = fromRegion.mName + ">" + toRegion.mName;
  std::string target = toRegion.mName;
  auto kilobytes =
    static_cast<decide::MicroTokens>(aExchange.mBody.size() / kBytesPerKilobyte + 1);
  for (std::size_t i = 0; i < heldConfig->mBudgets.size() && heldConfig == mCore.Config();
       ++i) {
    const decide::Budget& budget = heldConfig->mBudgets[i];
    bool spillBudget =
      budget.mKind == decide::BudgetKind::Spill && budget.mName == target;
    bool linkBudget = budget.mKind == decide::BudgetKind::Link && budget.mName == link;
    if (!spillBudget && !linkBudget) {
      continue;
    }
    decide::MicroTokens amount =
      spillBudget ? decide::kToken : kilobytes * decide::kToken;
    if (!co_await mTokens.Take(decide::BudgetId(i), amount, mCore.Now())) {
      co_return false;
    }
  }
  co_return true;
}

Awaitable<Outcome> Forwarder::ForwardTo(Exchange& aExchange,
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
  std::chrono::milliseconds left = mCore.TimeLeft(aExchange);
  if (left.count() <= 0) {
    throw RequestError(Result::DeadlineBeforeStart);
  }
  request.set_deadline_ms(static_cast<std::uint64_t>(left.count()));
  request.set_ticket(aExchange.mTicket);
  request.set_order(aOrder);
  request.set_data_centre(mCore.mSettings.mDataCentre);
  aExchange.mStep = ServeStep::Peer;
  peer::wire::ForwardReply reply;
  try {
    reply = co_await mCore.mPeers.Forward(aAddress, std::move(request), left);
  } catch (const peer::PeerError& error) {
    throw RequestError(error.MayHaveArrived() ? Result::AnswerLost
                                              : Result::NotConnected);
  }
  if (!IsValid(reply)) {
    base::Log(spdlog::level::warn,
              base::Event::ConnectionClosed,
              "server={} request={} cause=the peer's reply is malformed",
              aAddress,
              aExchange.mRequestId);
    throw RequestError(Result::AnswerLost);
  }
  auto result = static_cast<Result>(reply.result());
  if (result != Result::Ok) {
    throw RequestError(result);
  }
  co_return Outcome{ result, reply.status(), reply.content_type(), reply.body(), {}, {} };
}

} // namespace vanillaloft::entry
