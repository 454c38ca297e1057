#include "decide/blocks.h"

#include <algorithm>
#include <tuple>

namespace vanillaloft::decide {

namespace {

constexpr unsigned kAddressBits = 32;

std::uint64_t EndOf(const ClientBlock& aBlock)
{
  return std::uint64_t(aBlock.mFirst) +
         (std::uint64_t(1) << (kAddressBits - aBlock.mBits));
}

} // namespace

// Blocks are nested or disjoint, so one pass in order of the first address with a stack
// of the enclosing blocks is enough.
ClientBlocks::ClientBlocks(std::vector<ClientBlock> aBlocks)
{
  std::ranges::sort(aBlocks, {}, [](const ClientBlock& aBlock) {
    return std::tuple(aBlock.mFirst, aBlock.mBits);
  });
  Append(0, base::DataCentreId());
  std::vector<ClientBlock> enclosing;
  auto closeBlocksUntil = [&](std::uint64_t aAddress) {
    while (!enclosing.empty() && EndOf(enclosing.back()) <= aAddress) {
      std::uint64_t end = EndOf(enclosing.back());
      enclosing.pop_back();
      if (end <= UINT32_MAX) {
        Append(static_cast<std::uint32_t>(end),
               enclosing.empty() ? base::DataCentreId() : enclosing.back().mDataCentre);
      }
    }
  };
  for (const ClientBlock& block : aBlocks) {
    closeBlocksUntil(block.mFirst);
    Append(block.mFirst, block.mDataCentre);
    enclosing.push_back(block);
  }
  closeBlocksUntil(std::uint64_t(UINT32_MAX) + 1);
  mStarts.shrink_to_fit();
  mDataCentres.shrink_to_fit();
}

// A range with the same start as the last one replaces it. A range with the data centre
// of the last one extends it, so it is not stored.
void ClientBlocks::Append(std::uint32_t aStart, base::DataCentreId aDataCentre)
{
  if (!mStarts.empty() && mStarts.back() == aStart) {
    mStarts.pop_back();
    mDataCentres.pop_back();
  }
  if (!mDataCentres.empty() && mDataCentres.back() == aDataCentre) {
    return;
  }
  mStarts.push_back(aStart);
  mDataCentres.push_back(aDataCentre);
}

base::DataCentreId ClientBlocks::Find(std::uint32_t aAddress) const
{
  auto after = std::ranges::upper_bound(mStarts, aAddress);
  if (after == mStarts.begin()) {
    return {};
  }
  return mDataCentres[static_cast<std::size_t>(after - mStarts.begin()) - 1];
}

std::size_t ClientBlocks::Bytes() const
{
  return mStarts.capacity() * sizeof(std::uint32_t) +
         mDataCentres.capacity() * sizeof(base::DataCentreId);
}

} // namespace vanillaloft::decide
