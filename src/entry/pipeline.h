// The filters that a request passes, in the order of the table in pipeline.cc:
// route -> identify -> limit -> place.
#pragma once

#include <string>

#include "entry/admission.h"
#include "entry/backend.h"
#include "entry/core.h"

namespace vanillaloft::entry {

// How an admitted request reaches a backend server.
class Placement
{
public:
  virtual ~Placement() = default;
  // Throws RequestError.
  virtual Awaitable<decide::Outcome> Place(Exchange& aExchange) = 0;
};

class Pipeline
{
public:
  // Without a placement, requests go by way of the instances that own the servers.
  Pipeline(Core& aCore,
           Admission& aAdmission,
           BackendClient& aBackend,
           Placement* aPlacement = nullptr)
    : mCore(aCore)
    , mAdmission(aAdmission)
    , mBackend(aBackend)
    , mPlacement(aPlacement)
  {
  }

  // Serves a caller's request. Never throws: a refusal is an outcome with its result
  // code.
  Awaitable<decide::Outcome> Serve(Exchange aExchange);

  // Runs an order, whose ticket this instance issued, for a peer. Throws RequestError.
  Awaitable<decide::Outcome> RunIssuedOrder(Exchange& aExchange);

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
  void Authenticate(Exchange& aExchange) const;
  void TakeBackPayment(const Exchange& aExchange);
  void Refuse(const Exchange& aExchange, Result aCode, decide::Outcome& aOutcome);
  void Record(const Exchange& aExchange, const decide::Outcome& aOutcome);

  Core& mCore;
  Admission& mAdmission;
  BackendClient& mBackend;
  Placement* mPlacement;
};

} // namespace vanillaloft::entry
