#include "decide/loans.h"

#include <algorithm>

namespace vanillaloft::decide {

void Loans::Add(MicroTokens aAmount, base::Instant aUntil, base::Instant aNow)
{
  if (aUntil <= aNow || aAmount <= 0) {
    return;
  }
  auto after = std::ranges::upper_bound(mLoans, aUntil, {}, &Loan::mUntil);
  mLoans.insert(after, { aAmount, aUntil });
}

MicroTokens Loans::Level(base::Instant aNow)
{
  std::erase_if(mLoans, [aNow](const Loan& aLoan) { return aNow >= aLoan.mUntil; });
  MicroTokens level = 0;
  for (const Loan& loan : mLoans) {
    level += loan.mAmount;
  }
  return level;
}

MicroTokens Loans::Take(MicroTokens aAmount)
{
  MicroTokens taken = 0;
  for (Loan& loan : mLoans) {
    MicroTokens part = std::min(loan.mAmount, aAmount - taken);
    loan.mAmount -= part;
    taken += part;
  }
  return taken;
}

} // namespace vanillaloft::decide
