// Maps a caller's IPv4 address to its nearest data centre. Two parallel sorted arrays
// take six bytes per range, so that two million blocks fit in memory beside the other
// state of an instance.
#pragma once

#include <cstdint>
#include <vector>

#include "base/types.h"

namespace vanillaloft::decide {

// A CIDR block of client addresses.
struct ClientBlock
{
  std::uint32_t mFirst = 0; // first address, host byte order
  std::uint8_t mBits = 0;   // length of the prefix
  base::DataCentreId mDataCentre;
};

class ClientBlocks
{
public:
  ClientBlocks() = default;
  // Flattens blocks, which may nest, into ranges that do not overlap.
  explicit ClientBlocks(std::vector<ClientBlock> aBlocks);

  // The data centre of the block with the longest prefix that contains the address, or
  // none.
  base::DataCentreId Find(std::uint32_t aAddress) const;

  std::size_t RangeCount() const { return mStarts.size(); }
  std::size_t Bytes() const;

private:
  void Append(std::uint32_t aStart, base::DataCentreId aDataCentre);

  std::vector<std::uint32_t> mStarts;
  std::vector<base::DataCentreId> mDataCentres;
};

} // namespace vanillaloft::decide
