// Selects the few backend servers of a service that handle the requests for an object. A
// server responds fast only about recently handled objects and keeps a limited number of
// them, so each server should get as few objects as possible. Callers of one region
// request the same objects, regardless of their data centre.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.h"
#include "decide/allocation.h"

namespace vanillaloft::decide {

// Location of a server relative to the choosing instance.
enum class Locality : std::uint8_t
{
  OwnDataCentre, // same data centre
  OwnRegion,     // another data centre of the same region
  OtherRegion    // another region
};

// A server that may get a request.
struct EligibleServer
{
  std::size_t mIndex = 0; // index in the caller's list of servers
  std::uint64_t mKey = 0; // hash of the server's name
  Locality mLocality = Locality::OwnDataCentre;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  double mSlots = 1;
  bool mSuspect = false; // fails often; ranked after all other servers
};

// Returns the candidates for an object, best first: its home server in the region, the
// server that the region's other data centre uses for it, and one in another region. The
// last comes first for objects that the region does not handle itself. All instances with
// the same servers get the same result, and few objects move when a server is added or
// removed.
std::vector<EligibleServer> RankCandidates(std::uint64_t aObject,
                                           const std::vector<EligibleServer>& aServers,
                                           const RegionCapacity& aCapacity);

} // namespace vanillaloft::decide
