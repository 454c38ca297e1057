// Calls from an entry instance to backend servers.
#pragma once

#include <functional>
#include <string>

#include "decide/steer.h"
#include "entry/core.h"
#include "entry/exchange.h"
#include "entry/format.h"
#include "net/http.h"

namespace vanillaloft::entry {

// Name and address of a backend server to call.
struct BackendTarget
{
  std::string mName;
  base::HostPort mAddress;
  // Returns false once no request may be sent to the server any more. Checked again after
  // the connection is established. Empty: always true.
  std::function<bool()> mMaySend;
  // Returns true once the server gets no requests any more. It is kept with an idle
  // connection, beyond the call. Empty: always false.
  std::function<bool()> mHasLeft = {};
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
  // call ends early with AnswerLost when the caller disconnects; an order without a
  // ticket only as long as the server has not got all of it, one with a ticket never.
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

  // Requests /load from a server and returns its state: Draining or Serving as reported,
  // Down if the call fails.
  Awaitable<decide::ServerState> Probe(base::HostPort aServer);

private:
  using ConnectionPtr = IdleConnections::ConnectionPtr;

  // Lets a disconnect of the caller end the call.
  static void EndOnDisconnect(const Exchange& aExchange,
                              net::Connection& aConnection,
                              bool aOrder);
  Awaitable<ServerAnswer> SendAndReadAnswer(const Exchange& aExchange,
                                            net::Connection& aConnection,
                                            const AttemptMetadata& aMetadata) const;
  Awaitable<ConnectionPtr> Connect(BackendTarget aTarget, ConnectionReuse aReuse);
  void KeepIdle(const BackendTarget& aTarget, ConnectionPtr aConnection);

  Core& mCore;
  const Format& mFormat;
};

} // namespace vanillaloft::entry
