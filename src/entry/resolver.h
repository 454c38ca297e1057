// Finds the route, service and organisation of a request in the configuration in force.
#pragma once

#include <string>

#include "entry/core.h"
#include "entry/exchange.h"

namespace vanillaloft::entry {

class Resolver
{
public:
  explicit Resolver(const Core& aCore)
    : mCore(aCore)
  {
  }

  // Sets route, service and organisation from the configuration in force. Runs at
  // arrival, and again after each change of the configuration while the request waited,
  // so that a key withdrawn in the meantime is refused. Throws RequestError.
  void Resolve(Exchange& aExchange) const;

  // Returns the organisation of a presented key. Throws RequestError.
  decide::OrganisationId Identify(const std::string& aKey) const;

private:
  void Authenticate(Exchange& aExchange) const;

  const Core& mCore;
};

} // namespace vanillaloft::entry
