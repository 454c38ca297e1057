// The product's native interface for callers and operators.
#pragma once

#include "entry/core.h"
#include "entry/lookup.h"
#include "entry/pipeline.h"

namespace vanillaloft::entry {

// The calls of the product's native interface (docs/INTERFACE.md), for callers and for
// operators.
class NativeApi
{
public:
  NativeApi(Core& aCore,
            const Format& aFormat,
            Pipeline& aPipeline,
            LookupHandler& aLookUps)
    : mCore(aCore)
    , mFormat(aFormat)
    , mPipeline(aPipeline)
    , mLookUps(aLookUps)
  {
  }

  // Serves look-ups and requests for backend servers.
  Awaitable<net::Response> HandleCaller(net::Request aRequest,
                                        CallerConnection& aConnection);
  // Serves /state, /metrics and /ready.
  Awaitable<net::Response> HandleOperator(net::Request aRequest);

private:
  net::Response Lookup(const net::Request& aRequest, std::uint32_t aClient) const;

  Core& mCore;
  const Format& mFormat;
  Pipeline& mPipeline;
  LookupHandler& mLookUps;
  std::uint64_t mRequestCount = 0;
};

} // namespace vanillaloft::entry
