// Calls from an entry instance to the backend servers that it owns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decide/steer.h"
#include "entry/core.h"
#include "entry/exchange.h"
#include "entry/format.h"
#include "net/http.h"

namespace vanillaloft::entry {

// A backend server to call.
struct BackendTarget
{
  std::string mName; // connections are kept by it
  base::HostPort mAddress;
  // False once nothing may be sent to it any more; asked again when the connection
  // stands. Empty: always true.
  std::function<bool()> mMaySend;
};

// Whether a call may use a connection that was kept from an earlier one.
enum class ConnectionReuse : std::uint8_t
{
  Allowed,
  Forbidden
};

class BackendClient
{
public:
  BackendClient(Core& aCore, const Format& aFormat)
    : mCore(aCore)
    , mFormat(aFormat)
  {
  }

  // Sends a request and reads the whole answer. Throws RequestError: NotConnected or
  // BackendServerLeft if nothing was sent, otherwise AnswerTimeout or AnswerLost. The
  // call ends early with AnswerLost when the caller goes away, unless the request is an
  // order.
  Awaitable<ServerAnswer> Call(Exchange& aExchange,
                               BackendTarget aTarget,
                               ConnectionReuse aReuse,
                               bool aOrder);

  // Sends a request to the slot's server and returns the whole answer. Throws
  // RequestError whose code says whether the request ran. aEnding is set in either case.
  Awaitable<decide::Outcome> Send(Exchange& aExchange,
                                  const decide::Slot& aSlot,
                                  bool aOrder,
                                  decide::AttemptOutcome& aEnding);

  // Asks a server for its state.
  Awaitable<decide::ServerState> Probe(base::HostPort aServer);

private:
  using ConnectionPtr = std::unique_ptr<net::Connection>;

  ConnectionPtr TakeIdle(const std::string& aServer);
  Awaitable<ConnectionPtr> Connect(BackendTarget aTarget, ConnectionReuse aReuse);
  void Keep(const std::string& aServer, ConnectionPtr aConnection);
  std::chrono::milliseconds TimeLeft(const Exchange& aExchange) const;

  Core& mCore;
  const Format& mFormat;
  std::map<std::string, std::vector<ConnectionPtr>> mIdle; // by server name
};

} // namespace vanillaloft::entry
