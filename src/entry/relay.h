// Server side of the peer protocol: heartbeats, relay of the configuration and of the
// store's items, tokens, and forwarded requests.
#pragma once

#include "entry/core.h"
#include "entry/pipeline.h"
#include "entry/replication.h"
#include "entry/tokens.h"

namespace vanillaloft::entry {

// Serves the calls of peers and exchanges heartbeats with them.
class Relay final : public peer::Handler
{
public:
  Relay(Core& aCore, Pipeline& aPipeline, Tokens& aTokens)
    : mCore(aCore)
    , mPipeline(aPipeline)
    , mTokens(aTokens)
    , mResolver(aCore)
    , mReplication(aCore)
  {
  }

  Awaitable<peer::wire::BeatReply> OnBeat(peer::wire::BeatRequest aRequest) override;
  Awaitable<peer::wire::ConfigReply> OnFetchConfig(
    peer::wire::ConfigRequest aRequest) override;
  Awaitable<peer::wire::ItemsReply> OnFetchItems(
    peer::wire::ItemsRequest aRequest) override;
  Awaitable<peer::wire::TokenReply> OnAskToken(
    peer::wire::TokenRequest aRequest) override;
  Awaitable<peer::wire::ForwardReply> OnForward(
    peer::wire::ForwardRequest aRequest) override;

  // Sends one heartbeat and applies the status in the reply. Fetches the peer's
  // configuration if it is newer.
  Awaitable<void> SendHeartbeat(std::string aAddress);

private:
  // aPeerDigest: digest of the addresses that the peer knows; 0 if unknown.
  template<typename Message>
  void FillHeartbeat(Message& aMessage, std::uint64_t aPeerDigest);
  // Records a peer's status and the peer addresses that it sends. Returns true if the
  // peer has a newer configuration.
  template<typename Message>
  bool ApplyHeartbeat(const Message& aMessage);
  void ApplyConfirmation(const peer::wire::Status& aStatus, Instant aRequestedAt);
  // Fetches a peer's configuration and offers it to the core. Does nothing while another
  // fetch is in flight.
  Awaitable<void> FetchConfigFrom(std::string aAddress);

  Core& mCore;
  Pipeline& mPipeline;
  Tokens& mTokens;
  Resolver mResolver;
  bool mFetchingConfig = false;
  std::string mLastSentAddress; // the last known address in a heartbeat
  Replication mReplication;
};

} // namespace vanillaloft::entry
