// Chooses the entry instances for a caller: a few of the ready instances that are not
// leaving in the data centre nearest to its address, otherwise of the same region,
// otherwise of any.
#pragma once

#include <string>
#include <vector>

#include "decide/config.h"
#include "decide/member.h"

namespace vanillaloft::decide {

// An entry instance that callers may use.
struct EntryInstance
{
  std::string mAddress; // "ip:port" for callers
  unsigned mWeight = 1; // capacity relative to other instances
};

// The instances of all data centres, rebuilt when members change. A look-up finds the
// client block and chooses among the instances of one data centre.
class LookUp
{
public:
  // Recomputes all results. aSelf is this instance's own status.
  void Rebuild(ConfigPtr aConfig,
               const Members& aMembers,
               const MemberStatus& aSelf,
               Instant aNow);

  // The instances for a caller's IPv4 address (host byte order), at most four; if no
  // client block contains the address, those for callers of this data centre.
  std::vector<EntryInstance> InstancesForClient(std::uint32_t aClient) const;

  // The instances for a caller of a data centre, at most four; empty if the data centre
  // is not known. A caller gets the same instances for as long as they serve, from
  // whichever instance it asks, and each instance gets callers in proportion to its
  // weight.
  std::vector<EntryInstance> InstancesForDataCentre(DataCentreId aDataCentre,
                                                    std::uint32_t aClient) const;

private:
  ConfigPtr mConfig;
  DataCentreId mOwnDataCentre;
  std::vector<std::vector<EntryInstance>> mInstances; // by DataCentreId
};

} // namespace vanillaloft::decide
