// Small decisions about one request: the service of a split route and when a refused
// caller may come back.
#pragma once

#include "base/result.h"
#include "decide/config.h"

namespace vanillaloft::decide {

// The service that a request goes to. aDraw is a hash of the request's identifier, so
// that the same request is always drawn to the same service.
ServiceId SelectService(const Route& aRoute, std::uint64_t aHash);

// When the caller of a refused request may come back. aDraw spreads the returns.
Duration RetryAfter(base::Result aRefusal, std::uint64_t aHash);

} // namespace vanillaloft::decide
