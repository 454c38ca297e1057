// Forwarding of requests to other instances.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "entry/core.h"
#include "entry/tokens.h"

namespace vanillaloft::entry {

class Forwarder
{
public:
  Forwarder(Core& aCore, Tokens& aTokens)
    : mCore(aCore)
    , mTokens(aTokens)
  {
  }

  // Forwards a request to one peer after another, as long as each reports that the
  // request did not run. Returns nothing if every peer refused. Throws RequestError.
  Awaitable<std::optional<decide::Outcome>> TryPeers(Exchange& aExchange,
                                                     std::vector<std::string> aAddresses,
                                                     bool aOrder);
  // Forwards a request to a peer. Throws RequestError.
  Awaitable<decide::Outcome> ForwardTo(Exchange& aExchange,
                                       std::string aAddress,
                                       bool aOrder);

private:
  Awaitable<bool> DebitRegionBudgets(const Exchange& aExchange,
                                     const std::string& aAddress);

  Core& mCore;
  Tokens& mTokens;
};

} // namespace vanillaloft::entry
