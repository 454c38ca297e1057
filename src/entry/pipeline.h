// The filters that a request passes, in the order of the table in pipeline.cc:
// route -> identify -> limit -> place.
#pragma once

#include <map>
#include <string>

#include "entry/admission.h"
#include "entry/backend.h"
#include "entry/core.h"

namespace vanillaloft::entry {

class Pipeline
{
public:
  Pipeline(Core& aCore, Admission& aAdmission, Backend& aBackend)
    : mCore(aCore)
    , mAdmission(aAdmission)
    , mBackend(aBackend)
  {
  }

  // Serves a caller's request. Never throws: a refusal is an outcome with its result
  // code.
  Awaitable<decide::Outcome> Serve(Exchange aExchange);

  // Runs an order, whose ticket this instance issued, for a peer. Throws RequestError.
  Awaitable<decide::Outcome> RunIssued(Exchange& aExchange);

  // Sends a peer's request to an owned backend server. Throws RequestError.
  Awaitable<decide::Outcome> DeliverForPeer(Exchange& aExchange,
                                            decide::Origin aOrigin,
                                            bool aOrder);

  // Sets route, service and organisation from the configuration in force. Throws
  // RequestError.
  void Resolve(Exchange& aExchange) const;

  // The organisation of a presented key. Throws RequestError.
  decide::OrganisationId Identify(const std::string& aKey) const;

private:
  using Filter = Awaitable<void> (Pipeline::*)(Exchange&);
  struct FilterRow
  {
    const char* mName;
    Filter mFilter;
  };
  static const FilterRow kFilters[];

  // Earns retries at the profile's percentage of requests.
  struct RetryBudget
  {
    unsigned mCredit = 0; // hundredths of a retry
  };

  Awaitable<void> RouteFilter(Exchange& aExchange);
  Awaitable<void> LimitFilter(Exchange& aExchange);
  Awaitable<decide::Outcome> Place(Exchange& aExchange);
  Awaitable<decide::Outcome> PlaceOrder(Exchange& aExchange);
  Awaitable<decide::Outcome> RelayToIssuer(Exchange& aExchange, std::string aIssuer);
  Awaitable<decide::Outcome> DeliverWithRetries(Exchange& aExchange, bool aOrder);
  Awaitable<decide::Outcome> Deliver(Exchange& aExchange, bool aOrder);
  Awaitable<std::optional<decide::Outcome>>
  TryElsewhere(Exchange& aExchange, std::vector<std::string> aAddresses, bool aOrder);
  Awaitable<decide::Outcome> ForwardTo(Exchange& aExchange,
                                       std::string aAddress,
                                       bool aOrder);
  Awaitable<decide::Outcome> SendToSlot(Exchange& aExchange,
                                        decide::Slot aSlot,
                                        bool aOrder);
  Awaitable<bool> PayForRegion(const Exchange& aExchange, const std::string& aAddress);
  void EarnRetry(const Exchange& aExchange);
  bool SpendRetry(const Exchange& aExchange);

  Core& mCore;
  Admission& mAdmission;
  Backend& mBackend;
  std::map<std::string, RetryBudget> mRetries; // by service name
};

} // namespace vanillaloft::entry
