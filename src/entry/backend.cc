#include "entry/backend.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace vanillaloft::entry {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
constexpr std::chrono::milliseconds kProbeTimeout{ 500 };
constexpr std::size_t kMostIdle = 32; // connections kept for each server
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kNotRunHeader = "X-Not-Run";
constexpr const char* kDrainingHeader = "X-Draining";

} // namespace

Backend::ConnectionPtr Backend::TakeIdle(const std::string& aServer)
{
  auto& idle = mIdle[aServer];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsIdle()) {
      return connection;
    }
  }
  return nullptr;
}

std::chrono::milliseconds Backend::TimeLeft(const Exchange& aExchange) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aExchange.mDeadline -
                                                               mCore.Now());
}

net::Request Backend::Outgoing(const Exchange& aExchange, bool aOrder) const
{
  net::Request request(
    http::string_to_verb(aExchange.mMethod), aExchange.mTarget, net::kHttp11);
  request.set(http::field::host, "backend-server");
  request.set(kRequestIdHeader, aExchange.mRequestId);
  request.set("X-Deadline-Ms", std::to_string(TimeLeft(aExchange).count()));
  if (!aExchange.mOrganisation.IsNone()) {
    request.set("X-Organisation",
                aExchange.mConfig->mOrganisations[aExchange.mOrganisation.At()].mName);
  }
  if (!aExchange.mContentType.empty()) {
    request.set(http::field::content_type, aExchange.mContentType);
  }
  if (aOrder) {
    auto ticket = decide::Ticket::Parse(aExchange.mTicket);
    std::string id = ticket->mIssuer.mAddress + "/" +
                     std::to_string(ticket->mIssuer.mStart) + "/" +
                     std::to_string(ticket->mSequence);
    request.set("Idempotency-Key", id);
  }
  request.keep_alive(true);
  request.body() = aExchange.mBody;
  request.prepare_payload();
  return request;
}

// An order gets a connection of its own: on one that was idle, the server may be closing
// just then, and a failure would leave the outcome unknown for no reason.
Awaitable<decide::Outcome> Backend::Send(const Exchange& aExchange,
                                         const decide::Slot& aSlot,
                                         bool aOrder,
                                         decide::Ending& aEnding)
{
  aEnding = decide::Ending::Unreached;
  ConnectionPtr connection = aOrder ? nullptr : TakeIdle(aSlot.mServer);
  if (!connection) {
    connection = std::make_unique<net::Connection>(mCore.mContext.get_executor());
    try {
      co_await connection->Connect(aSlot.mAddress, kConnectTimeout);
    } catch (const net::CallError&) {
      aSlot.mView->mState = decide::ServerState::Down;
      throw base::RequestError(Result::NotConnected);
    }
  }
  if (TimeLeft(aExchange).count() <= 0) {
    throw base::RequestError(Result::DeadlineBeforeStart);
  }
  net::Request request = Outgoing(aExchange, aOrder);
  net::Response response;
  bool timedOut = false;
  bool lost = false;
  try {
    response = co_await connection->Call(request, TimeLeft(aExchange));
  } catch (const net::CallError& error) {
    timedOut = error.TimedOut();
    lost = true;
  }
  auto echo = response[kRequestIdHeader];
  bool crossed = !lost && !echo.empty() && echo != aExchange.mRequestId;
  if (lost || crossed) {
    base::Log(spdlog::level::warn,
              base::Event::ConnectionClosed,
              "server={} cause={}",
              aSlot.mServer,
              crossed ? "answer of another request" : "no whole answer in time");
    throw base::RequestError(timedOut ? Result::AnswerTimeout : Result::AnswerLost);
  }
  if (response.count(kDrainingHeader) > 0) {
    aSlot.mView->mState = decide::ServerState::Draining;
  }
  if (response.result() == http::status::service_unavailable &&
      response.count(kNotRunHeader) > 0) {
    aEnding = decide::Ending::Shed;
    throw base::RequestError(Result::BackendServerShed);
  }
  aEnding = decide::Ending::Answered;
  if (response.keep_alive() && mIdle[aSlot.mServer].size() < kMostIdle) {
    mIdle[aSlot.mServer].push_back(std::move(connection));
  }
  decide::Outcome outcome{ Result::Ok, response.result_int(), "", "" };
  outcome.mContentType = std::string(response[http::field::content_type]);
  outcome.mBody = std::move(response.body());
  co_return outcome;
}

Awaitable<decide::ServerState> Backend::Probe(base::HostPort aServer)
{
  try {
    net::Request request(http::verb::get, "/load", net::kHttp11);
    net::Response response =
      co_await net::CallOnce(std::move(aServer), std::move(request), kProbeTimeout);
    auto report = nlohmann::json::parse(response.body(), nullptr, false);
    bool draining = report.is_object() && report.value("draining", false);
    co_return draining ? decide::ServerState::Draining : decide::ServerState::Serving;
  } catch (const net::CallError&) {
    co_return decide::ServerState::Down;
  }
}

} // namespace vanillaloft::entry
