// The stages of a request: route -> identify -> limit -> place. The filters run in the
// order of the table in pipeline.cc; the route filter also identifies the organisation.
#pragma once

#include <string>

#include "entry/admission.h"
#include "entry/backend.h"
#include "entry/core.h"
#include "entry/forward.h"
#include "entry/resolver.h"

namespace vanillaloft::entry {

// Strategy that sends an admitted request to a backend server.
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
  // Without a placement, requests are forwarded to the instances that own the servers.
  Pipeline(Core& aCore,
           Admission& aAdmission,
           BackendClient& aBackend,
           Placement* aPlacement = nullptr)
    : mCore(aCore)
    , mResolver(aCore)
    , mAdmission(aAdmission)
    , mForwarder(aCore, aAdmission.mTokens)
    , mBackend(aBackend)
    , mPlacement(aPlacement)
  {
  }

  // Serves a caller's request. Returns a refusal as an outcome with its result code and
  // does not throw RequestError.
  Awaitable<decide::Outcome> Serve(Exchange aExchange);

  // Runs an order whose ticket this instance issued. Throws RequestError.
  Awaitable<decide::Outcome> RunIssuedOrder(Exchange& aExchange);

  // Returns the result code that a request gets which ended with aCode. Refusals of
  // orders with a ticket become OutcomeUnknown unless the order certainly did not run.
  Result ResultForCaller(Result aCode, const Exchange& aExchange);

  // Sends a peer's request to a backend server that this instance owns. Throws
  // RequestError.
  Awaitable<decide::Outcome> DeliverForPeer(Exchange& aExchange,
                                            decide::Origin aOrigin,
                                            bool aOrder);

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
  Awaitable<decide::Outcome> DispatchOrder(Exchange& aExchange);
  Awaitable<decide::Outcome> ForwardToIssuer(Exchange& aExchange, std::string aIssuer);
  Awaitable<decide::Outcome> DeliverWithRetries(Exchange& aExchange, bool aOrder);
  Awaitable<decide::Outcome> Deliver(Exchange& aExchange, bool aOrder);
  Awaitable<decide::Outcome> SendToSlot(Exchange& aExchange,
                                        decide::Slot aSlot,
                                        bool aOrder);
  void EstimateFirstAttempt(Exchange& aExchange);
  void RefuseBeyondStop(const Exchange& aExchange) const;
  bool CutByStop(const Exchange& aExchange, Result aCode) const;
  void RefundToken(const Exchange& aExchange);
  void SetRefusal(const Exchange& aExchange, Result aCode, decide::Outcome& aOutcome);
  Duration RetryAfter(const Exchange& aExchange, Result aCode);
  decide::ReturnSchedule* ScheduleFor(const Exchange& aExchange, Result aCode);
  void RecordCaller(const Exchange& aExchange, Result aResult, Duration aLatency);
  void RecordOutcome(const Exchange& aExchange, const decide::Outcome& aOutcome);

  Core& mCore;
  Resolver mResolver;
  Admission& mAdmission;
  Forwarder mForwarder;
  BackendClient& mBackend;
  Placement* mPlacement;
};

} // namespace vanillaloft::entry
