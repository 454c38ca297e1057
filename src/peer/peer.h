// gRPC between entry instances. Calls arrive and complete on the io_context's thread, so
// the state that they touch needs no locks.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <grpcpp/channel.h>
#include <grpcpp/server.h>
#include <peer.grpc.pb.h>

namespace vanillaloft::peer {

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// A call to a peer that got no reply.
class PeerError : public std::runtime_error
{
public:
  PeerError(bool aMayHaveArrived, const std::string& aCause)
    : std::runtime_error(aCause)
    , mMayHaveArrived(aMayHaveArrived)
  {
  }
  bool MayHaveArrived() const { return mMayHaveArrived; }

private:
  bool mMayHaveArrived;
};

// What an instance does with its peers' calls. Runs on the io_context's thread.
class Handler
{
public:
  virtual ~Handler() = default;
  virtual Awaitable<wire::BeatReply> OnBeat(wire::BeatRequest aRequest) = 0;
  virtual Awaitable<wire::ConfigReply> OnFetchConfig(wire::ConfigRequest aRequest) = 0;
  virtual Awaitable<wire::ItemsReply> OnFetchItems(wire::ItemsRequest aRequest) = 0;
  virtual Awaitable<wire::TokenReply> OnAskToken(wire::TokenRequest aRequest) = 0;
  virtual Awaitable<wire::ForwardReply> OnForward(wire::ForwardRequest aRequest) = 0;
};

// Listens for peers. The address is bound exclusively: a process that can bind it proves
// that its predecessor at the address is gone.
class Server
{
public:
  // Throws std::runtime_error if the address cannot be bound.
  Server(boost::asio::io_context& aContext,
         Handler& aHandler,
         const std::string& aAddress);
  ~Server();

  // Takes no new calls and waits until those under way have ended. Blocks, so it is
  // called on a thread of its own while the io_context still runs: calls under way
  // complete on it.
  void Close();

private:
  class Service;
  std::unique_ptr<Service> mService;
  std::unique_ptr<grpc::Server> mServer;
};

// Calls to peers. Channels are kept by address; no call is ever repeated by the library.
class Client
{
public:
  explicit Client(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  // All throw PeerError.
  Awaitable<wire::BeatReply> Beat(std::string aAddress,
                                  wire::BeatRequest aRequest,
                                  std::chrono::milliseconds aTimeout);
  Awaitable<wire::ConfigReply> FetchConfig(std::string aAddress,
                                           wire::ConfigRequest aRequest,
                                           std::chrono::milliseconds aTimeout);
  Awaitable<wire::ItemsReply> FetchItems(std::string aAddress,
                                         wire::ItemsRequest aRequest,
                                         std::chrono::milliseconds aTimeout);
  Awaitable<wire::TokenReply> AskToken(std::string aAddress,
                                       wire::TokenRequest aRequest,
                                       std::chrono::milliseconds aTimeout);
  Awaitable<wire::ForwardReply> Forward(std::string aAddress,
                                        wire::ForwardRequest aRequest,
                                        std::chrono::milliseconds aTimeout);

private:
  struct Peer
  {
    std::shared_ptr<grpc::Channel> mChannel;
    std::unique_ptr<wire::Peer::Stub> mStub;
  };

  Peer& PeerAt(const std::string& aAddress);
  template<typename Sent, typename Reply, typename Method>
  Awaitable<Reply> Call(std::string aAddress,
                        Sent aRequest,
                        std::chrono::milliseconds aTimeout,
                        Method aMethod);

  boost::asio::io_context& mContext;
  std::map<std::string, Peer> mPeers;
};

} // namespace vanillaloft::peer
