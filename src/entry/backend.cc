#include "entry/backend.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "entry/memory.h"

namespace vanillaloft::entry {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
constexpr std::chrono::milliseconds kProbeTimeout{ 500 };
// A server that stops a request at the deadline reports that in its response. This grace
// period lets the response arrive.
constexpr std::chrono::milliseconds kAnswerGrace{ 100 };
// Responses to earlier requests that a call skips before it gives up the connection.
constexpr unsigned kMaxSkippedAnswers = 4;

// Why a call failed.
struct Failure
{
  Result mResult;
  std::string mCause;
};

bool NamesAnotherRequest(const Exchange& aExchange, const ServerAnswer& aAnswer)
{
  return !aAnswer.mRequestId.empty() && aAnswer.mRequestId != aExchange.mRequestId;
}

// A response without an identifier may be a late copy of an earlier one, unless it is the
// first on its connection.
bool IsAnswerTo(const Exchange& aExchange,
                const ServerAnswer& aAnswer,
                const net::Connection& aConnection)
{
  return aAnswer.mRequestId.empty() ? aConnection.ResponsesRead() == 1
                                    : aAnswer.mRequestId == aExchange.mRequestId;
}

} // namespace

void BackendClient::KeepIdle(const BackendTarget& aTarget, ConnectionPtr aConnection)
{
  mCore.mIdle.Keep({ aTarget.mName, aTarget.mAddress, aTarget.mHasLeft },
                   std::move(aConnection));
}

Awaitable<BackendClient::ConnectionPtr> BackendClient::Connect(BackendTarget aTarget,
                                                               ConnectionReuse aReuse)
{
  if (aReuse == ConnectionReuse::Allowed) {
    if (auto idle = mCore.mIdle.Take(aTarget.mName, aTarget.mAddress)) {
      co_return idle;
    }
  }
  auto connection = std::make_unique<net::Connection>(mCore.mContext.get_executor());
  bool cutByStop = false;
  auto endWait = [&] {
    cutByStop = true;
    connection->Close();
  };
  WaitRegistration wait(mCore.mWaits, { decide::StopWait::Start, endWait });
  try {
    co_await connection->Connect(aTarget.mAddress, kConnectTimeout);
  } catch (const net::CallError&) {
    throw base::RequestError(cutByStop ? Result::DeadlineBeforeStart
                                       : Result::NotConnected);
  }
  co_return connection;
}

// An order that the server has got may run, so its answer is awaited. One with a ticket
// is remembered, and its caller may ask again.
void BackendClient::EndOnDisconnect(const Exchange& aExchange,
                                    net::Connection& aConnection,
                                    bool aOrder)
{
  if (!aExchange.mCaller) {
    return;
  }
  if (!aOrder) {
    aExchange.mCaller->mOnDisconnect = [&aConnection] { aConnection.Close(); };
  } else if (aExchange.mTicket.empty()) {
    aExchange.mCaller->mOnDisconnect = [&aConnection] { aConnection.CloseIfSending(); };
  }
}

Awaitable<ServerAnswer> BackendClient::Call(Exchange& aExchange,
                                            BackendTarget aTarget,
                                            ConnectionReuse aReuse,
                                            bool aOrder)
{
  aExchange.mStep = ServeStep::Connection;
  ConnectionPtr connection = co_await Connect(aTarget, aReuse);
  AttemptMetadata metadata{ aTarget.mName, mCore.TimeLeft(aExchange), aOrder };
  if (metadata.mTimeLeft.count() <= 0 || aExchange.CallerDisconnected()) {
    KeepIdle(aTarget, std::move(connection));
    throw base::RequestError(Result::DeadlineBeforeStart);
  }
  if (aTarget.mMaySend && !aTarget.mMaySend()) {
    throw base::RequestError(Result::BackendServerLeft);
  }
  EndOnDisconnect(aExchange, *connection, aOrder);
  ServerAnswer answer;
  std::optional<Failure> failure;
  connection->SetReadBudget(aExchange.HeldBy());
  bool cutByStop = false;
  auto endWait = [&] {
    cutByStop = true;
    connection->Close();
  };
  WaitRegistration wait(mCore.mWaits, { decide::StopWait::Answer, endWait });
  aExchange.mStep = ServeStep::Answer;
  try {
    answer = co_await SendAndReadAnswer(aExchange, *connection, metadata);
  } catch (const net::CallError& error) {
    bool timedOut = error.TimedOut() || cutByStop;
    failure = { timedOut ? Result::AnswerTimeout : Result::AnswerLost, error.what() };
  }
  connection->SetReadBudget(nullptr);
  if (aExchange.mCaller) {
    aExchange.mCaller->mOnDisconnect = nullptr;
  }
  if (!failure && !IsAnswerTo(aExchange, answer, *connection)) {
    failure = { Result::AnswerLost, "answer to another request" };
  }
  if (failure) {
    base::Log(spdlog::level::warn,
              base::Event::ConnectionClosed,
              "server={} request={} cause={}",
              aTarget.mName,
              aExchange.mRequestId,
              failure->mCause);
    throw base::RequestError(failure->mResult);
  }
  if (answer.mGenuine && !answer.mRequestId.empty() && connection->IsReusable()) {
    KeepIdle(aTarget, std::move(connection));
  }
  co_return answer;
}

// A faulty server may send an earlier response again, late, where the next one is
// expected. Such copies are skipped, because the right response follows them.
Awaitable<ServerAnswer> BackendClient::SendAndReadAnswer(
  const Exchange& aExchange,
  net::Connection& aConnection,
  const AttemptMetadata& aMetadata) const
{
  net::Request request = mFormat.ToServer(aExchange, aMetadata);
  net::Response response = co_await aConnection.Call(
    request, aExchange.mBody, aMetadata.mTimeLeft + kAnswerGrace);
  ServerAnswer answer = mFormat.FromServer(std::move(response));
  for (unsigned skipped = 0; NamesAnotherRequest(aExchange, answer); ++skipped) {
    base::Log(spdlog::level::warn,
              base::Event::AnswerSkipped,
              "server={} request={} answer_to={}",
              aMetadata.mServerId,
              aExchange.mRequestId,
              answer.mRequestId);
    if (skipped == kMaxSkippedAnswers) {
      break;
    }
    response = co_await aConnection.ReadNext(mCore.TimeLeft(aExchange) + kAnswerGrace);
    answer = mFormat.FromServer(std::move(response));
  }
  co_return answer;
}

// An order uses a new connection. The server may be closing an idle one at the same
// moment, and the failure would leave the order's outcome unknown without need.
Awaitable<decide::Outcome> BackendClient::Send(Exchange& aExchange,
                                               const decide::Slot& aSlot,
                                               bool aOrder,
                                               decide::AttemptOutcome& aAttemptOutcome)
{
  aAttemptOutcome = decide::AttemptOutcome::NotSent;
  BackendTarget target{ aSlot.mServer, aSlot.mAddress, {}, {} };
  ConnectionReuse reuse = aOrder ? ConnectionReuse::Forbidden : ConnectionReuse::Allowed;
  ServerAnswer answer;
  try {
    answer = co_await Call(aExchange, target, reuse, aOrder);
  } catch (const base::RequestError& error) {
    if (error.Code() == Result::NotConnected) {
      aSlot.mView->mState = decide::ServerState::Down;
    } else if (error.Code() != Result::DeadlineBeforeStart) {
      aAttemptOutcome = decide::AttemptOutcome::Abandoned;
    }
    throw;
  }
  if (answer.mDraining) {
    aSlot.mView->mState = decide::ServerState::Draining;
  }
  if (answer.mNotRun) {
    aAttemptOutcome = decide::AttemptOutcome::Shed;
    throw base::RequestError(Result::BackendServerShed);
  }
  aAttemptOutcome = decide::AttemptOutcome::Answered;
  co_return std::move(answer.mOutcome);
}

Awaitable<decide::ServerState> BackendClient::Probe(base::HostPort aServer)
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
