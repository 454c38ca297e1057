// Hash of a text, identical on all instances.
#pragma once

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace vanillaloft::decide {

inline std::uint64_t HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace vanillaloft::decide
