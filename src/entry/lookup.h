// Answers of the system itself: look-ups, order tickets and, on the operators' listener,
// status, metrics and the dump of state.
#pragma once

#include <string>

#include "decide/lookup.h"
#include "entry/core.h"
#include "entry/pipeline.h"
#include "net/http.h"

namespace vanillaloft::entry {

class LookUps
{
public:
  LookUps(Core& aCore, Pipeline& aPipeline)
    : mCore(aCore)
    , mPipeline(aPipeline)
  {
  }

  // Makes the answers anew from what is known about the members.
  void Rebuild();

  // GET /v1/lookup?service=NAME[&tickets=N][&client=IP]: instances to use, time to live
  // and tickets. Throws RequestError.
  std::string Answer(const net::Request& aRequest,
                     std::uint32_t aClient,
                     const std::string& aKey);

  // The instances for callers of a data centre; none if it is not known.
  std::span<const decide::EntryInstance> InstancesFor(
    const std::string& aDataCentre) const
  {
    return mCore.Config()
             ? mLookUp.InstancesForDataCentre(mCore.Config()->FindDataCentre(aDataCentre))
             : std::span<const decide::EntryInstance>();
  }

private:
  Core& mCore;
  Pipeline& mPipeline;
  decide::LookUp mLookUp;
};

// The value of a query parameter, or an empty text.
std::string QueryValue(std::string_view aTarget, std::string_view aName);

} // namespace vanillaloft::entry
