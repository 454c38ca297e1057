#include "entry/lookup.h"

#include <charconv>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace vanillaloft::entry {

using base::RequestError;
using nlohmann::json;

namespace {

constexpr unsigned kMaxTicketsPerLookup = 16;

} // namespace

std::string QueryValue(std::string_view aTarget, std::string_view aName)
{
  std::size_t from = aTarget.find('?');
  while (from != std::string_view::npos && from < aTarget.size()) {
    std::size_t to = std::min(aTarget.find('&', from + 1), aTarget.size());
    std::string_view pair = aTarget.substr(from + 1, to - from - 1);
    if (pair.starts_with(aName) && pair.substr(aName.size()).starts_with('=')) {
      return std::string(pair.substr(aName.size() + 1));
    }
    from = to;
  }
  return {};
}

void LookupHandler::Rebuild()
{
  if (mCore.Config()) {
    mLookUp.Rebuild(mCore.Config(), mCore.mMembers, mCore.Status(), mCore.Now());
  }
}

std::vector<decide::EntryInstance> LookupHandler::InstancesFor(
  const std::string& aDataCentre,
  std::uint32_t aClient) const
{
  if (!mCore.Config()) {
    return {};
  }
  return mLookUp.InstancesForDataCentre(mCore.Config()->FindDataCentre(aDataCentre),
                                        aClient);
}

std::string LookupHandler::Handle(const net::Request& aRequest,
                                  std::uint32_t aClient,
                                  const std::string& aKey)
{
  std::string_view target(aRequest.target().data(), aRequest.target().size());
  decide::OrganisationId organisation = mResolver.Identify(aKey);
  decide::ServiceId service = mCore.Config()->FindService(QueryValue(target, "service"));
  if (service.IsNone()) {
    throw RequestError(Result::UnknownRoute);
  }
  std::string client = QueryValue(target, "client");
  in_addr address{};
  if (!client.empty() && inet_pton(AF_INET, client.c_str(), &address) == 1) {
    aClient = ntohl(address.s_addr);
  }
  json answer;
  answer["instances"] = json::array();
  for (const decide::EntryInstance& candidate : mLookUp.InstancesForClient(aClient)) {
    // The instances were chosen by their weights already.
    answer["instances"].push_back({ { "address", candidate.mAddress }, { "weight", 1 } });
  }
  if (answer["instances"].empty()) {
    throw RequestError(Result::NotReady);
  }
  Duration timeToLive = mCore.Config()->ProfileOf(service).mLookUpTtl;
  answer["ttl_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(timeToLive).count();
  answer["tickets"] = json::array();
  std::string ticketsParameter = QueryValue(target, "tickets");
  unsigned count = 0;
  std::from_chars(
    ticketsParameter.data(), ticketsParameter.data() + ticketsParameter.size(), count);
  const std::string& name = mCore.Config()->mOrganisations[organisation.Value()].mName;
  for (unsigned i = 0; i < std::min(count, kMaxTicketsPerLookup); ++i) {
    auto ticket = mCore.mLeaving ? std::nullopt : mCore.mLedger.Issue(name, mCore.Now());
    if (!ticket) {
      throw RequestError(mCore.mLeaving ? Result::NotReady : Result::TicketsFull);
    }
    answer["tickets"].push_back(*ticket);
  }
  return answer.dump();
}

} // namespace vanillaloft::entry
