// Tokens of one budget that other holders lent to this instance.
#pragma once

#include <vector>

#include "base/types.h"
#include "decide/bucket.h"

namespace vanillaloft::decide {

class Loans
{
public:
  // Adds tokens that lapse at aUntil.
  void Add(MicroTokens aAmount, base::Instant aUntil, base::Instant aNow);

  // Removes loans that lapsed and returns the sum of the others.
  MicroTokens Level(base::Instant aNow);

  // Takes at most an amount, from the loans that lapse first. Returns what was taken. The
  // caller has removed those that lapsed.
  MicroTokens Take(MicroTokens aAmount);

private:
  struct Loan
  {
    MicroTokens mAmount = 0;
    base::Instant mUntil{};
  };

  std::vector<Loan> mLoans; // the first to lapse first
};

} // namespace vanillaloft::decide
