// Conversion of a hash to a number for weighted rendezvous hashing.
#pragma once

#include <cstdint>

namespace vanillaloft::decide {

// Maps a 64-bit hash to a number between 0 and 1, both excluded.
inline double UniformHash(std::uint64_t aHash)
{
  constexpr double kRange = 18446744073709551616.0; // 2^64
  constexpr double kMax = 1 - 0x1p-53;
  double uniform = (double(aHash) + 0.5) / kRange;
  return uniform < kMax ? uniform : kMax;
}

} // namespace vanillaloft::decide
