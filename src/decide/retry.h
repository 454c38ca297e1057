// Limit on requests that are sent to a second backend server: a part of the requests
// served, and a reserve for times of little traffic. Kept by service.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace vanillaloft::decide {

class RetryBudget
{
public:
  // Counts a request, which earns aPercent hundredths of a retry. At most aReserve
  // retries are saved up. A new process starts with none, since its predecessor may just
  // have spent what it had.
  void Earn(const std::string& aService, unsigned aPercent, double aReserve)
  {
    double& credit = mCredit[aService];
    credit = std::min(credit + double(aPercent) / 100, std::max(aReserve, 1.0));
  }

  // Takes one retry if there is one.
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
