// Limits retries at a second backend server to a percentage of the requests served, plus
// a reserve for low traffic. There is one budget for each service.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace vanillaloft::decide {

class RetryBudget
{
public:
  // Counts a request, which adds aPercent hundredths of a retry to the budget. The budget
  // holds at most aReserve retries, but at least one. A new process starts with none,
  // since its predecessor may just have used up its own budget.
  void Earn(const std::string& aService, unsigned aPercent, double aReserve)
  {
    double& credit = mCredit[aService];
    credit = std::min(credit + double(aPercent) / 100, std::max(aReserve, 1.0));
  }

  // Takes one retry from the budget; false if there is none.
  bool Spend(const std::string& aService)
  {
    double& credit = mCredit[aService];
    if (credit < 1) {
      return false;
    }
    credit -= 1;
    return true;
  }

private:
  std::map<std::string, double> mCredit; // in retries
};

} // namespace vanillaloft::decide
