// Unit tests of what callers get for the replies of other instances.
#include <doctest/doctest.h>

#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "calling_instance.h"
#include "entry/pipeline.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr const char* kPeerAddress = "127.0.0.1:28771";
constexpr auto kSilence = 1500ms;
constexpr auto kRetryInterval = 20ms;
constexpr int kMaxTries = 200; // until the channel to the peer is connected

// A peer that replies to each forwarded request with mReply.
struct ReplyingPeer final : peer::Handler
{
  Awaitable<peer::wire::BeatReply> OnBeat(peer::wire::BeatRequest) override
  {
    co_return peer::wire::BeatReply();
  }
  Awaitable<peer::wire::ConfigReply> OnFetchConfig(peer::wire::ConfigRequest) override
  {
    co_return peer::wire::ConfigReply();
  }
  Awaitable<peer::wire::ItemsReply> OnFetchItems(peer::wire::ItemsRequest) override
  {
    co_return peer::wire::ItemsReply();
  }
  Awaitable<peer::wire::TokenReply> OnAskToken(peer::wire::TokenRequest) override
  {
    co_return peer::wire::TokenReply();
  }
  Awaitable<peer::wire::ForwardReply> OnForward(peer::wire::ForwardRequest) override
  {
    ++mRequests;
    if (mSilent) {
      asio::steady_timer timer(co_await asio::this_coro::executor, kSilence);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return mReply;
  }

  bool mSilent = false; // replies after the request's time
  peer::wire::ForwardReply mReply;
  unsigned mRequests = 0;
};

peer::wire::ForwardReply Reply(std::uint32_t aResult,
                               std::uint32_t aStatus,
                               const std::string& aContentType = "text/plain")
{
  peer::wire::ForwardReply reply;
  reply.set_result(aResult);
  reply.set_status(aStatus);
  reply.set_content_type(aContentType);
  reply.set_body("whole");
  return reply;
}

// An instance that forwards orders to the peer that issued their tickets.
struct ForwardingInstance : test::CallingInstance
{
  Admission mAdmission{ mCore };
  Pipeline mPipeline{ mCore, mAdmission, mBackend };
  ReplyingPeer mPeer;
  peer::Server mServer{ mContext, mPeer, kPeerAddress };

  ForwardingInstance()
  {
    auto config = std::make_shared<decide::Config>(*mCore.Config());
    config->mRevision = 2;
    config->mRoutes[test::kOrderRoute].mPublic = true;
    mCore.AcceptConfig(config);
    decide::MemberStatus status;
    status.mSelf = { kPeerAddress, 1 };
    status.mHoldsShares = true;
    mCore.mMembers.RecordStatus(status, mClock.Now());
  }

  decide::Outcome Order()
  {
    Exchange exchange = MakeExchange("1", test::kOrderRoute);
    exchange.mTicket = fmt::format("v1~{}~1~1~grocer~99~00", kPeerAddress);
    return test::RunCoroutine(mContext, mPipeline.Serve(std::move(exchange)));
  }

  // Returns what a caller gets when the peer sends aReply.
  decide::Outcome OrderWith(const peer::wire::ForwardReply& aReply)
  {
    mPeer.mReply = Reply(0, 200);
    for (int i = 0; i < kMaxTries && Order().mResult != Result::Ok; ++i) {
      std::this_thread::sleep_for(kRetryInterval); // the connection is made meanwhile
    }
    mPeer.mReply = aReply;
    unsigned before = mPeer.mRequests;
    decide::Outcome outcome = Order();
    CHECK(mPeer.mRequests == before + 1);
    return outcome;
  }
};

} // namespace

// Guards against an answer whose status is none, or with a line that is no field (MIXED).
TEST_CASE("a peer's reply without a result or an answer does not tell how an order ended")
{
  ForwardingInstance instance;
  for (const auto& reply : { peer::wire::ForwardReply(),
                             Reply(0, 0),
                             Reply(0, 99),
                             Reply(0, 100),
                             Reply(0, 1000),
                             Reply(0, 200, "text/plain\r\nX Blank: v"),
                             Reply(0, 200, "text/\1plain"),
                             Reply(9999, 200),
                             Reply(65536, 0) }) {
    CAPTURE(reply.ShortDebugString());
    CHECK(instance.OrderWith(reply).mResult == Result::OutcomeUnknown);
  }
}

TEST_CASE("a peer's reply with an odd but legal answer or a refusal is passed on")
{
  ForwardingInstance instance;
  for (unsigned status : { 200U, 299U, 425U, 503U, 999U }) {
    decide::Outcome outcome =
      instance.OrderWith(Reply(0, status, "text/plain;\tcharset=\"utf-8\""));
    CHECK(outcome.mResult == Result::Ok);
    CHECK(outcome.mStatus == status);
    CHECK(outcome.mBody == "whole");
  }
  auto full = static_cast<std::uint32_t>(Result::NoBackendServer);
  CHECK(instance.OrderWith(Reply(full, 0)).mResult == Result::NoBackendServer);
}

// Guards against a request that a planned stop cuts off (LOST) while a peer serves it.
TEST_CASE("a request that a peer has not answered is ended before a stop does")
{
  ForwardingInstance instance;
  instance.OrderWith(Reply(0, 200));
  instance.mPeer.mSilent = true;
  auto sentAt = instance.mClock.Now();
  asio::steady_timer timer(instance.mContext, 100ms);
  timer.async_wait([&](auto) {
    instance.mCore.mStop.Begin(instance.mClock.Now());
    instance.mCore.EndOverdueWaits();
  });
  CHECK(instance.Order().mResult == Result::OutcomeUnknown);
  CHECK(instance.mClock.Now() - sentAt < kSilence);
  instance.mContext.restart();
  instance.mContext.run_for(kSilence); // gRPC waits for the call at the peer
}
