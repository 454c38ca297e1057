// Calls from an entry instance to the backend servers that it owns.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decide/steer.h"
#include "entry/core.h"
#include "net/http.h"

namespace vanillaloft::entry {

// A request on its way through the instance. Carries no key.
struct Exchange
{
  std::string mRequestId;
  std::string mMethod;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::string mTicket; // as presented, if any
  std::string mKey;    // as presented; never sent on, never logged
  bool mHasKey = false;
  decide::ConfigPtr mConfig; // in which the indexes below are valid
  decide::RouteId mRoute;
  decide::ServiceId mService;
  decide::OrganisationId mOrganisation;
  std::string mOrganisationName; // set instead of a key on requests from peers
  Instant mArrival{};
  Instant mDeadline{};
};

class Backend
{
public:
  explicit Backend(Core& aCore)
    : mCore(aCore)
  {
  }

  // Sends a request to the slot's server and returns the whole answer. Throws
  // RequestError whose code says whether the request ran. aEnding is set in either case.
  Awaitable<decide::Outcome> Send(const Exchange& aExchange,
                                  const decide::Slot& aSlot,
                                  bool aOrder,
                                  decide::Ending& aEnding);

  // Asks a server for its state.
  Awaitable<decide::ServerState> Probe(base::HostPort aServer);

private:
  using ConnectionPtr = std::unique_ptr<net::Connection>;

  ConnectionPtr TakeIdle(const std::string& aServer);
  net::Request Outgoing(const Exchange& aExchange, bool aOrder) const;
  std::chrono::milliseconds TimeLeft(const Exchange& aExchange) const;

  Core& mCore;
  std::map<std::string, std::vector<ConnectionPtr>> mIdle; // by server name
};

} // namespace vanillaloft::entry
