#include "peer/peer.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>
#include <spdlog/spdlog.h>

namespace vanillaloft::peer {

namespace asio = boost::asio;

namespace {

constexpr int kShortestReconnect = 100; // milliseconds
constexpr int kLongestReconnect = 1000; // milliseconds
constexpr std::chrono::seconds kShutdownGrace{ 1 };
constexpr int kMostThreads = 4;

// Everything that one call keeps alive until the library's callback.
template<typename Sent, typename Reply>
struct CallState
{
  grpc::ClientContext mContext;
  Sent mRequest;
  Reply mReply;
};

} // namespace

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
    return Run(aContext, &Handler::OnBeat, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* FetchConfig(grpc::CallbackServerContext* aContext,
                                        const wire::ConfigRequest* aRequest,
                                        wire::ConfigReply* aReply) override
  {
    return Run(aContext, &Handler::OnFetchConfig, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* FetchItems(grpc::CallbackServerContext* aContext,
                                       const wire::ItemsRequest* aRequest,
                                       wire::ItemsReply* aReply) override
  {
    return Run(aContext, &Handler::OnFetchItems, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* AskToken(grpc::CallbackServerContext* aContext,
                                     const wire::TokenRequest* aRequest,
                                     wire::TokenReply* aReply) override
  {
    return Run(aContext, &Handler::OnAskToken, *aRequest, aReply);
  }
  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* aContext,
                                    const wire::ForwardRequest* aRequest,
                                    wire::ForwardReply* aReply) override
  {
    return Run(aContext, &Handler::OnForward, *aRequest, aReply);
  }

private:
  // Moves a call to the io_context's thread and completes it from there.
  template<typename Sent, typename Reply>
  grpc::ServerUnaryReactor* Run(grpc::CallbackServerContext* aContext,
                                Awaitable<Reply> (Handler::*aMethod)(Sent),
                                const Sent& aRequest,
                                Reply* aReply)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    auto work =
      [this, aMethod, reactor, aReply, request = aRequest]() mutable -> Awaitable<void> {
      try {
        *aReply = co_await (mHandler.*aMethod)(std::move(request));
        reactor->Finish(grpc::Status::OK);
      } catch (const std::exception& error) {
        reactor->Finish(grpc::Status(grpc::StatusCode::INTERNAL, error.what()));
      }
    };
    asio::post(mContext, [this, work = std::move(work)]() mutable {
      asio::co_spawn(mContext, std::move(work), asio::detached);
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
  quota.SetMaxThreads(kMostThreads);
  grpc::ServerBuilder builder;
  int port = 0;
  builder.SetResourceQuota(quota);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(mService.get());
  mServer = builder.BuildAndStart();
  if (!mServer || port == 0) {
    throw std::runtime_error("cannot listen for peers at " + aAddress);
  }
}

Server::~Server() = default;

void Server::Close()
{
  mServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
}

Client::Peer& Client::PeerAt(const std::string& aAddress)
{
  auto found = mPeers.find(aAddress);
  if (found != mPeers.end()) {
    return found->second;
  }
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kShortestReconnect);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kShortestReconnect);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kLongestReconnect);
  Peer peer;
  peer.mChannel =
    grpc::CreateCustomChannel(aAddress, grpc::InsecureChannelCredentials(), arguments);
  peer.mStub = wire::Peer::NewStub(peer.mChannel);
  return mPeers.emplace(aAddress, std::move(peer)).first->second;
}

// A channel that is not connected proves that the call was never sent. Once it was handed
// to a connected channel, no error proves anything.
template<typename Sent, typename Reply, typename Method>
Awaitable<Reply> Client::Call(std::string aAddress,
                              Sent aRequest,
                              std::chrono::milliseconds aTimeout,
                              Method aMethod)
{
  Peer& peer = PeerAt(aAddress);
  if (peer.mChannel->GetState(true) != GRPC_CHANNEL_READY) {
    throw PeerError(false, "not connected to " + aAddress);
  }
  auto state = std::make_shared<CallState<Sent, Reply>>();
  state->mRequest = std::move(aRequest);
  state->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
  auto start = [&](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    auto done = [this, state, handler](grpc::Status aStatus) {
      asio::post(mContext, [handler, aStatus] { (*handler)(aStatus); });
    };
    (peer.mStub->async()->*aMethod)(
      &state->mContext, &state->mRequest, &state->mReply, done);
  };
  auto status =
    co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(grpc::Status)>(
      start, asio::use_awaitable);
  if (!status.ok()) {
    throw PeerError(true, status.error_message());
  }
  co_return std::move(state->mReply);
}

namespace {

using Async = class wire::Peer::Stub::async;

// Selects the overload that takes a completion function.
template<typename Sent, typename Reply>
using AsyncMethod = void (Async::*)(grpc::ClientContext*,
                                    const Sent*,
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
