// Selection of the service of a split route, and the retry delay of refused requests.
#pragma once

#include "base/result.h"
#include "decide/config.h"

namespace vanillaloft::decide {

// Selects the service of a request by weight. aHash is a hash of the request's
// identifier, so the same request always gets the same service.
ServiceId SelectService(const Route& aRoute, std::uint64_t aHash);

// Default time after which the caller of a refused request may retry, where nothing tells
// when capacity becomes free; zero: none is given. aHash spreads the retries.
Duration RetryAfter(base::Result aRefusal, std::uint64_t aHash);

} // namespace vanillaloft::decide
