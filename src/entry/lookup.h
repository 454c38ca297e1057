// The look-up call: which entry instances a caller should use, and order tickets.
#pragma once

#include <string>

#include "decide/lookup.h"
#include "entry/core.h"
#include "entry/resolver.h"
#include "net/http.h"

namespace vanillaloft::entry {

// Serves look-ups from a candidate list that is rebuilt periodically.
class LookupHandler
{
public:
  explicit LookupHandler(Core& aCore)
    : mCore(aCore)
    , mResolver(aCore)
  {
  }

  // Rebuilds the candidate list from the current status of the members.
  void Rebuild();

  // GET /v1/lookup?service=NAME[&tickets=N][&client=IP]: returns instances to use, their
  // time to live and tickets as JSON. aClient: IPv4 address of the caller in host byte
  // order, used unless the query names a client. Throws RequestError.
  std::string Handle(const net::Request& aRequest,
                     std::uint32_t aClient,
                     const std::string& aKey);

  // The instances for a caller in a data centre; empty if the data centre is unknown.
  // aClient: IPv4 address of the caller in host byte order.
  std::vector<decide::EntryInstance> InstancesFor(const std::string& aDataCentre,
                                                  std::uint32_t aClient) const;

private:
  Core& mCore;
  Resolver mResolver;
  decide::LookUp mLookUp;
};

// Returns the value of a query parameter, not percent-decoded; empty if it is absent.
std::string QueryValue(std::string_view aTarget, std::string_view aName);

} // namespace vanillaloft::entry
