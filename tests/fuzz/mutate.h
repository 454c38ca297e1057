// Random changes of well-formed inputs, repeatable from a seed.
#pragma once

#include <random>
#include <string>
#include <vector>

namespace vanillaloft::fuzz {

class Mutator
{
public:
  explicit Mutator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  // Returns aInput with a few changes: bytes replaced, removed or repeated, numbers
  // replaced by odd ones, odd tokens inserted.
  std::string Mutate(std::string aInput);
  // Returns a number below aLimit, which is positive.
  std::size_t Below(std::size_t aLimit);

private:
  void MutateOnce(std::string& aInput);
  void ReplaceNumber(std::string& aInput);

  std::mt19937_64 mRandom;
};

} // namespace vanillaloft::fuzz
