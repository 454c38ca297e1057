// A configuration shared by several unit tests of decide.
#pragma once

#include "decide/config.h"

namespace vanillaloft::test {

// Two regions with two data centres each, and one service that allows a cold server 5
// requests per second.
inline decide::ConfigPtr TwoRegions()
{
  auto config = std::make_shared<decide::Config>();
  for (const char* region : { "east", "west" }) {
    decide::RegionId id(config->mRegions.size());
    decide::Region added{ region, {} };
    for (const char* part : { "-a", "-b" }) {
      added.mDataCentres.emplace_back(config->mDataCentres.size());
      config->mDataCentres.push_back({ region + std::string(part), id, false });
    }
    config->mRegions.push_back(added);
  }
  config->mProfiles.push_back({});
  decide::Service service;
  service.mName = "stock";
  service.mProfile = decide::ProfileId(0);
  service.mColdPerSecond = 5;
  config->mServices.push_back(service);
  return config;
}

} // namespace vanillaloft::test
