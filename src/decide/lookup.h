// Which entry instances a caller shall use: those of the data centre nearest to its
// address that are ready and stay, otherwise those of the same region, otherwise any.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "decide/config.h"
#include "decide/member.h"

namespace vanillaloft::decide {

// One instance that callers may use.
struct EntryInstance
{
  std::string mAddress; // "ip:port" for callers
  unsigned mWeight = 1;
};

// The answers for all data centres, made anew when members change, so that a look-up is a
// search for the client block and one table access.
class LookUp
{
public:
  // aSelf is this instance's own status.
  void Rebuild(ConfigPtr aConfig,
               const Members& aMembers,
               const MemberStatus& aSelf,
               Instant aNow);

  // The instances for a caller's IPv4 address (host byte order). Valid until the next
  // rebuild.
  std::span<const EntryInstance> InstancesForClient(std::uint32_t aClient) const;

  // The instances for callers of a data centre; all are none if it is not known.
  std::span<const EntryInstance> InstancesForDataCentre(DataCentreId aDataCentre) const;

private:
  ConfigPtr mConfig;
  DataCentreId mOwn;
  std::vector<std::vector<EntryInstance>> mInstances; // by data centre
};

} // namespace vanillaloft::decide
