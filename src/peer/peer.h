// gRPC calls between entry instances. Calls are handled and completed on the io_context's
// thread, so the state that they access needs no locks.
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

// Writes the messages of the gRPC library to the log. By default it writes them to the
// standard error, and its callers wait for the reader.
void LogLibraryMessages();

// Converts a time of a message. Longer times than a day are limited to one, so that
// calculations with them cannot overflow.
std::chrono::milliseconds TimeFromWire(std::uint64_t aMilliseconds);

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// A call to a peer failed without a reply. MayHaveArrived() is false only if the call was
// certainly not sent.
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

// Handles the calls of peers, on the io_context's thread. An exception fails the call.
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

// Longest time for the calls in flight when a server closes.
constexpr std::chrono::milliseconds kShutdownTimeout{ 1000 };

// Server for the calls of peers. The address is bound exclusively, so a successful bind
// proves that the previous process at the address has ended.
class Server
{
public:
  // Throws std::runtime_error if the address cannot be bound.
  Server(boost::asio::io_context& aContext,
         Handler& aHandler,
         const std::string& aAddress);
  ~Server();

  // Rejects new calls and waits for the calls in flight, which are cancelled after
  // aTimeout. Blocks, so it must be called on a thread of its own while the io_context
  // still runs, because calls in flight complete there.
  void Close(std::chrono::milliseconds aTimeout = kShutdownTimeout);

private:
  class Service;
  std::unique_ptr<Service> mService;
  std::unique_ptr<grpc::Server> mServer;
};

// Heartbeats to a peer in a row that may stay unanswered before its connection counts as
// silent and is replaced.
constexpr unsigned kMaxUnansweredBeats = 2;

// Client for calls to peers. Channels are cached by address. The retries of gRPC are off,
// so that the library never repeats a call.
class Client
{
public:
  explicit Client(boost::asio::io_context& aContext);
  // Cancels the calls in flight and waits until gRPC has completed them, because each
  // completion is posted to the io_context.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Cancels the calls in flight, which then throw PeerError. Calls that begin later throw
  // it at once, since they are not sent.
  void EndCalls();

  // All calls throw PeerError.
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
  class PendingCalls;
  struct Peer
  {
    std::shared_ptr<grpc::Channel> mChannel;
    std::unique_ptr<wire::Peer::Stub> mStub;
    unsigned mUnansweredBeats = 0;
  };
  // Shared with the calls in flight, which may outlast the channel's use.
  using PeerPtr = std::shared_ptr<Peer>;

  // Returns the cached peer, or creates its channel.
  PeerPtr FindOrCreatePeer(const std::string& aAddress);
  // Forgets the channel to a peer whose connection is silent.
  void RecordUnansweredBeat(const std::string& aAddress, const PeerPtr& aPeer);
  template<typename Request, typename Reply, typename Method>
  Awaitable<Reply> Call(std::string aAddress,
                        Request aRequest,
                        std::chrono::milliseconds aTimeout,
                        Method aMethod);

  boost::asio::io_context& mContext;
  std::shared_ptr<PendingCalls> mPending;
  std::map<std::string, PeerPtr> mPeers; // by address
  bool mEnded = false;                   // by EndCalls
};

} // namespace vanillaloft::peer
