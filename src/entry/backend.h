// Calls from an entry instance to backend servers.
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

// Name and address of a backend server to call.
struct BackendTarget
{
  std::string mName; // key of the idle connections
  base::HostPort mAddress;
  // Returns false once no request may be sent to the server any more. Checked again after
  // the connection is established. Empty: always true.
  std::function<bool()> mMaySend;
};

// Whether a call may use an idle connection of an earlier call.
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

  // Sends a request and reads the whole response. Responses that belong to earlier
  // requests of the connection are skipped. Throws RequestError: NotConnected or
  // BackendServerLeft if nothing was sent, otherwise AnswerTimeout or AnswerLost. The
  // call ends early with AnswerLost when the caller disconnects, unless the request is an
  // order.
  Awaitable<ServerAnswer> Call(Exchange& aExchange,
                               BackendTarget aTarget,
                               ConnectionReuse aReuse,
                               bool aOrder);

  // Sends a request to the slot's server and returns the whole response. Throws
  // RequestError whose code says whether the request ran. aAttemptOutcome is set in
  // either case.
  Awaitable<decide::Outcome> Send(Exchange& aExchange,
                                  const decide::Slot& aSlot,
                                  bool aOrder,
                                  decide::AttemptOutcome& aAttemptOutcome);

  // Closes the idle connections to a server.
  void CloseIdle(const std::string& aServer) { mIdle.erase(aServer); }

  // Requests /load from a server and returns its state: Draining or Serving as reported,
  // Down if the call fails.
  Awaitable<decide::ServerState> Probe(base::HostPort aServer);

private:
  using ConnectionPtr = std::unique_ptr<net::Connection>;

  Awaitable<ServerAnswer> SendAndReadAnswer(const Exchange& aExchange,
                                            net::Connection& aConnection,
                                            const AttemptMetadata& aMetadata) const;
  ConnectionPtr TakeIdle(const std::string& aServer);
  Awaitable<ConnectionPtr> Connect(BackendTarget aTarget, ConnectionReuse aReuse);
  void KeepIdle(const std::string& aServer, ConnectionPtr aConnection);
  std::chrono::milliseconds TimeLeft(const Exchange& aExchange) const;

  Core& mCore;
  const Format& mFormat;
  std::map<std::string, std::vector<ConnectionPtr>> mIdle; // by server name
};

} // namespace vanillaloft::entry
