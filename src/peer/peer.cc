#include "peer/peer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpc/support/log.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>
#include <spdlog/spdlog.h>

#include "base/event.h"

namespace vanillaloft::peer {

namespace asio = boost::asio;

namespace {

constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;
constexpr int kMaxServerThreads = 4;
constexpr std::uint64_t kMaxWireMilliseconds = 24ULL * 3600 * 1000;

// State of a call, which must stay alive until gRPC invokes the completion callback.
template<typename Request, typename Reply>
struct CallState
{
  std::shared_ptr<void> mPeer; // keeps the channel
  grpc::ClientContext mContext;
  Request mRequest;
  Reply mReply;
};

} // namespace

void LogLibraryMessages()
{
  gpr_set_log_function([](gpr_log_func_args* aMessage) {
    bool isError = aMessage->severity == GPR_LOG_SEVERITY_ERROR;
    spdlog::log(isError ? spdlog::level::warn : spdlog::level::debug,
                "gRPC: {}",
                base::Printable(aMessage->message));
  });
}

std::chrono::milliseconds TimeFromWire(std::uint64_t aMilliseconds)
{
  return std::chrono::milliseconds(std::min(aMilliseconds, kMaxWireMilliseconds));
}

// The calls that gRPC has not completed yet. Used from the io_context's thread and from
// gRPC's threads.
class Client::PendingCalls
{
public:
  void Add(grpc::ClientContext* aCall)
  {
    std::lock_guard lock(mMutex);
    mCalls.insert(aCall);
  }
  void Remove(grpc::ClientContext* aCall)
  {
    std::lock_guard lock(mMutex);
    mCalls.erase(aCall);
    mRemoved.notify_all();
  }
  void CancelAll()
  {
    std::lock_guard lock(mMutex);
    for (grpc::ClientContext* call : mCalls) {
      call->TryCancel();
    }
  }
  void AwaitAll()
  {
    std::unique_lock lock(mMutex);
    mRemoved.wait(lock, [&] { return mCalls.empty(); });
  }

private:
  std::mutex mMutex;
  std::condition_variable mRemoved;
  std::set<grpc::ClientContext*> mCalls;
};

class Server::Service final : public wire::Peer::CallbackService
{
public:
  Service(asio::io_context& aContext, Handler& aHandler)
    : mContext(aContext)
    , mHandler(aHandler)
  {
  }

  grpc::ServerUnaryReactor* Beat(grpc::CallbackServerContext* aContext,
                                 const wire::BeatRequest* aRequest,
                                 wire::BeatReply* aReply) override
  {
    return Dispatch(aContext, &Handler::OnBeat, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* FetchConfig(grpc::CallbackServerContext* aContext,
                                        const wire::ConfigRequest* aRequest,
                                        wire::ConfigReply* aReply) override
  {
    return Dispatch(aContext, &Handler::OnFetchConfig, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* FetchItems(grpc::CallbackServerContext* aContext,
                                       const wire::ItemsRequest* aRequest,
                                       wire::ItemsReply* aReply) override
  {
    return Dispatch(aContext, &Handler::OnFetchItems, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* AskToken(grpc::CallbackServerContext* aContext,
                                     const wire::TokenRequest* aRequest,
                                     wire::TokenReply* aReply) override
  {
    return Dispatch(aContext, &Handler::OnAskToken, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* aContext,
                                    const wire::ForwardRequest* aRequest,
                                    wire::ForwardReply* aReply) override
  {
    return Dispatch(aContext, &Handler::OnForward, *aRequest, aReply);
  }

private:
  // Runs the handler of a call on the io_context's thread and completes the call there.
  template<typename Request, typename Reply>
  grpc::ServerUnaryReactor* Dispatch(grpc::CallbackServerContext* aContext,
                                     Awaitable<Reply> (Handler::*aMethod)(Request),
                                     const Request& aRequest,
                                     Reply* aReply)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    auto handleCall =
      [this, aMethod, reactor, aReply, request = aRequest]() mutable -> Awaitable<void> {
      try {
        *aReply = co_await (mHandler.*aMethod)(std::move(request));
        reactor->Finish(grpc::Status::OK);
      } catch (const std::exception& error) {
        reactor->Finish(grpc::Status(grpc::StatusCode::INTERNAL, error.what()));
      }
    };
    asio::post(mContext, [this, handleCall = std::move(handleCall)]() mutable {
      asio::co_spawn(mContext, std::move(handleCall), asio::detached);
    });
    return reactor;
  }

  asio::io_context& mContext;
  Handler& mHandler;
};

Server::Server(asio::io_context& aContext, Handler& aHandler, const std::string& aAddress)
  : mService(std::make_unique<Service>(aContext, aHandler))
{
  grpc::ResourceQuota quota;
  quota.SetMaxThreads(kMaxServerThreads);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.SetResourceQuota(quota);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(mService.get());
  mServer = builder.BuildAndStart();
  if (!mServer || port == 0) {
    throw std::runtime_error("cannot bind the peer listener to " + aAddress);
  }
}

Server::~Server() = default;

void Server::Close(std::chrono::milliseconds aTimeout)
{
  mServer->Shutdown(std::chrono::system_clock::now() + aTimeout);
}

Client::Client(asio::io_context& aContext)
  : mContext(aContext)
  , mPending(std::make_shared<PendingCalls>())
{
}

Client::~Client()
{
  mPending->CancelAll();
  mPending->AwaitAll();
}

void Client::EndCalls()
{
  mEnded = true;
  mPending->CancelAll();
}

Client::PeerPtr Client::FindOrCreatePeer(const std::string& aAddress)
{
  auto found = mPeers.find(aAddress);
  if (found != mPeers.end()) {
    return found->second;
  }
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // Otherwise a new channel uses the connection of the one that it replaces.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  auto peer = std::make_shared<Peer>();
  peer->mChannel =
    grpc::CreateCustomChannel(aAddress, grpc::InsecureChannelCredentials(), arguments);
  peer->mStub = wire::Peer::NewStub(peer->mChannel);
  return mPeers.emplace(aAddress, std::move(peer)).first->second;
}

// The next call makes a new channel, and with it a new connection.
void Client::RecordUnansweredBeat(const std::string& aAddress, const PeerPtr& aPeer)
{
  auto current = mPeers.find(aAddress);
  bool isCurrent = current != mPeers.end() && current->second == aPeer;
  if (++aPeer->mUnansweredBeats >= kMaxUnansweredBeats && isCurrent) {
    base::Log(spdlog::level::info,
              base::Event::PeerConnectionSilent,
              "peer={} unanswered={}",
              aAddress,
              aPeer->mUnansweredBeats);
    mPeers.erase(current);
  }
}

// If the channel is not connected, the call is certainly not sent. Once it is passed to a
// connected channel, an error does not tell whether the peer received it.
template<typename Request, typename Reply, typename Method>
Awaitable<Reply> Client::Call(std::string aAddress,
                              Request aRequest,
                              std::chrono::milliseconds aTimeout,
                              Method aMethod)
{
  if (mEnded) {
    throw PeerError(false, "calls to peers have ended");
  }
  PeerPtr peer = FindOrCreatePeer(aAddress);
  if (peer->mChannel->GetState(true) != GRPC_CHANNEL_READY) {
    throw PeerError(false, "not connected to " + aAddress);
  }
  auto state = std::make_shared<CallState<Request, Reply>>();
  state->mPeer = peer;
  state->mRequest = std::move(aRequest);
  state->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
  auto initiate = [&](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    // The handler is moved to the io_context's thread, where a coroutine must be resumed
    // and destroyed. Nothing of the client is used after the call is removed.
    auto onDone = [&context = mContext, pending = mPending, state, handler](
                    grpc::Status aStatus) mutable {
      asio::post(context,
                 [handler = std::move(handler), aStatus] { (*handler)(aStatus); });
      pending->Remove(&state->mContext);
    };
    mPending->Add(&state->mContext);
    (peer->mStub->async()->*aMethod)(
      &state->mContext, &state->mRequest, &state->mReply, onDone);
  };
  auto status =
    co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(grpc::Status)>(
      initiate, asio::use_awaitable);
  bool unanswered = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
  if (!unanswered) {
    peer->mUnansweredBeats = 0;
  } else if constexpr (std::is_same_v<Request, wire::BeatRequest>) {
    RecordUnansweredBeat(aAddress, peer);
  }
  if (!status.ok()) {
    throw PeerError(true, status.error_message());
  }
  co_return std::move(state->mReply);
}

namespace {

using Async = class wire::Peer::Stub::async;

// Type of the stub's overload that takes a completion callback.
template<typename Request, typename Reply>
using AsyncMethod = void (Async::*)(grpc::ClientContext*,
                                    const Request*,
                                    Reply*,
                                    std::function<void(grpc::Status)>);

} // namespace

Awaitable<wire::BeatReply> Client::Beat(std::string aAddress,
                                        wire::BeatRequest aRequest,
                                        std::chrono::milliseconds aTimeout)
{
  AsyncMethod<wire::BeatRequest, wire::BeatReply> method = &Async::Beat;
  return Call<wire::BeatRequest, wire::BeatReply>(
    std::move(aAddress), std::move(aRequest), aTimeout, method);
}

Awaitable<wire::ConfigReply> Client::FetchConfig(std::string aAddress,
                                                 wire::ConfigRequest aRequest,
                                                 std::chrono::milliseconds aTimeout)
{
  AsyncMethod<wire::ConfigRequest, wire::ConfigReply> method = &Async::FetchConfig;
  return Call<wire::ConfigRequest, wire::ConfigReply>(
    std::move(aAddress), std::move(aRequest), aTimeout, method);
}

Awaitable<wire::ItemsReply> Client::FetchItems(std::string aAddress,
                                               wire::ItemsRequest aRequest,
                                               std::chrono::milliseconds aTimeout)
{
  AsyncMethod<wire::ItemsRequest, wire::ItemsReply> method = &Async::FetchItems;
  return Call<wire::ItemsRequest, wire::ItemsReply>(
    std::move(aAddress), std::move(aRequest), aTimeout, method);
}

Awaitable<wire::TokenReply> Client::AskToken(std::string aAddress,
                                             wire::TokenRequest aRequest,
                                             std::chrono::milliseconds aTimeout)
{
  AsyncMethod<wire::TokenRequest, wire::TokenReply> method = &Async::AskToken;
  return Call<wire::TokenRequest, wire::TokenReply>(
    std::move(aAddress), std::move(aRequest), aTimeout, method);
}

Awaitable<wire::ForwardReply> Client::Forward(std::string aAddress,
                                              wire::ForwardRequest aRequest,
                                              std::chrono::milliseconds aTimeout)
{
  AsyncMethod<wire::ForwardRequest, wire::ForwardReply> method = &Async::Forward;
  return Call<wire::ForwardRequest, wire::ForwardReply>(
    std::move(aAddress), std::move(aRequest), aTimeout, method);
}

} // namespace vanillaloft::peer
