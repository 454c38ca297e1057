// Finds the route, service and organisation of a request in the configuration in force.
#pragma once

#include <string>

#include "entry/core.h"
#include "entry/exchange.h"

namespace vanillaloft::entry {

// The configuration in force does not accept the request, so no retry can succeed. The
// request has not run under this configuration.
class ResolveError : public base::RequestError
{
public:
  using RequestError::RequestError;
};

class Resolver
{
public:
  explicit Resolver(const Core& aCore)
    : mCore(aCore)
  {
  }

  // Sets route, service and organisation from the configuration in force. Runs at
  // arrival, and again after each change of the configuration while the request waited,
  // so that a key withdrawn in the meantime is refused. Throws ResolveError.
  void Resolve(Exchange& aExchange) const;

  // Resolves a request again if the configuration has changed since. Has to be called
  // after each wait before the request's indexes are used with the tables of an object
  // that has the configuration in force. Throws ResolveError.
  void ResolveIfStale(Exchange& aExchange) const;

  // Returns the organisation of a presented key. Throws ResolveError.
  decide::OrganisationId Identify(const std::string& aKey) const;

private:
  void Authenticate(Exchange& aExchange) const;

  const Core& mCore;
};

} // namespace vanillaloft::entry
