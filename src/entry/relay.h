// What an instance does with its peers' calls: heartbeats, configuration relay, tokens,
// forwarded requests.
#pragma once

#include "entry/core.h"
#include "entry/pipeline.h"
#include "entry/replication.h"

namespace vanillaloft::entry {

class Relay final : public peer::Handler
{
public:
  Relay(Core& aCore, Pipeline& aPipeline)
    : mCore(aCore)
    , mPipeline(aPipeline)
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

  // Sends one heartbeat and takes note of the answer.
  Awaitable<void> SendHeartbeat(std::string aAddress);

private:
  template<typename Message>
  void FillBeat(Message& aMessage) const;
  // Takes note of a peer's status and of the addresses that it knows. True if the peer
  // has a newer configuration.
  template<typename Message>
  bool TakeBeat(const Message& aMessage);
  void TakeConfirmation(const peer::wire::Status& aStatus, Instant aAsked);
  Awaitable<void> FetchConfigFrom(std::string aAddress);
  Core& mCore;
  Pipeline& mPipeline;
  bool mFetching = false;
  Replication mReplication;
};

} // namespace vanillaloft::entry
