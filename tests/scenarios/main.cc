// Runs the scenario files given as arguments and prints which pass. Exits with 1 if any
// fails.
#include <fstream>
#include <iostream>

#include "script.h"

int main(int aArgc, char** aArgv)
{
  unsigned passed = 0;
  unsigned failed = 0;
  for (int i = 1; i < aArgc; ++i) {
    std::ifstream file(aArgv[i]);
    std::vector<std::string> failures;
    try {
      vanillaloft::world::Script script(aArgv[i], file);
      failures = script.Run();
    } catch (const std::exception& error) {
      failures.push_back(error.what());
    }
    for (const std::string& failure : failures) {
      std::cout << "  " << failure << "\n";
    }
    std::cout << (failures.empty() ? "pass " : "FAIL ") << aArgv[i] << "\n" << std::flush;
    ++(failures.empty() ? passed : failed);
  }
  std::cout << "scenarios: " << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
