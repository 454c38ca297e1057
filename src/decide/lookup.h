// Chooses the entry instances for a caller: the ready instances that are not leaving in
// the data centre nearest to its address, otherwise those of the same region, otherwise
// any.
#pragma once

#include <span>
#include <string>
#include <vector>

#include "decide/config.h"
#include "decide/member.h"

namespace vanillaloft::decide {

// An entry instance that callers may use.
struct EntryInstance
{
  std::string mAddress; // "ip:port" for callers
  unsigned mWeight = 1;
};

// Precomputed look-up results for all data centres, rebuilt when members change, so that
// a look-up is a search for the client block and one table access.
class LookUp
{
public:
  // Recomputes all results. aSelf is this instance's own status.
  void Rebuild(ConfigPtr aConfig,
               const Members& aMembers,
               const MemberStatus& aSelf,
               Instant aNow);

  // The instances for a caller's IPv4 address (host byte order), at most four; if no
  // client block contains the address, those for this data centre. Valid until the next
  // Rebuild.
  std::span<const EntryInstance> InstancesForClient(std::uint32_t aClient) const;

  // The instances for callers of a data centre; empty if the data centre is not known.
  std::span<const EntryInstance> InstancesForDataCentre(DataCentreId aDataCentre) const;

private:
  ConfigPtr mConfig;
  DataCentreId mOwnDataCentre;
  std::vector<std::vector<EntryInstance>> mInstances; // by DataCentreId
};

} // namespace vanillaloft::decide
