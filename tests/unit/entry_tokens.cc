// Unit tests of src/entry/tokens: what a holder of shares gives to other instances.
#include <thread>

#include <doctest/doctest.h>

#include "base/clock.h"
#include "canned.h"
#include "entry/tokens.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

constexpr const char* kConfig = R"({"revision":1,"floor_percent":50,
  "regions":[{"name":"r","data_centres":["d1","d2"]}],
  "organisations":[{"name":"shop","rate_per_s":100,"burst":40,"keys":[]}],
  "profiles":[],"services":[],"client_blocks":[]})";

// An instance of d1 that holds shares; its buckets are empty.
struct HolderFixture
{
  boost::asio::io_context mContext;
  base::ManualClock mClock;
  Core mCore{ mContext,
              mClock,
              { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
              { "127.0.0.1:2", 7 },
              "secret" };
  Tokens mTokens{ mCore };
  decide::BudgetId mBudget;

  HolderFixture()
  {
    mClock.Advance(1s);
    mCore.AcceptConfig(decide::ParseConfig(kConfig));
    mBudget = mCore.Config()->mOrganisations[0].mBudget;
    mCore.mShares.Observe({}, mClock.Now());
    mClock.Advance(decide::kNewHolderWait);
    mCore.mShares.Observe({}, mClock.Now());
    REQUIRE(mCore.mShares.PlanWrite(mClock.Now()));
    mCore.mShares.WriteCommitted(mClock.Now());
  }

  peer::wire::TokenReply Ask(const std::string& aDataCentre,
                             unsigned aExtra = 0,
                             unsigned aWaitMs = 0)
  {
    peer::wire::TokenRequest request;
    request.set_budget("organisation:shop");
    request.set_micro_tokens(decide::kToken);
    request.set_extra_micro_tokens(aExtra * decide::kToken);
    request.set_data_centre(aDataCentre);
    request.set_wait_ms(aWaitMs);
    return test::RunCoroutine(mContext, mTokens.Give(request));
  }

  void Borrow(unsigned aTokens)
  {
    Instant now = mClock.Now();
    mCore.mShares.AddLoan(mBudget, aTokens * decide::kToken, now + 1s, now);
  }
};

// Serves token requests of peers with one object; other calls fail.
struct TokenServer final : peer::Handler
{
  explicit TokenServer(Tokens& aTokens)
    : mTokens(aTokens)
  {
  }
  template<typename Reply>
  Awaitable<Reply> Unused()
  {
    throw std::logic_error("unused");
  }
  Awaitable<peer::wire::BeatReply> OnBeat(peer::wire::BeatRequest) override
  {
    return Unused<peer::wire::BeatReply>();
  }
  Awaitable<peer::wire::ConfigReply> OnFetchConfig(peer::wire::ConfigRequest) override
  {
    return Unused<peer::wire::ConfigReply>();
  }
  Awaitable<peer::wire::ItemsReply> OnFetchItems(peer::wire::ItemsRequest) override
  {
    return Unused<peer::wire::ItemsReply>();
  }
  Awaitable<peer::wire::ForwardReply> OnForward(peer::wire::ForwardRequest) override
  {
    return Unused<peer::wire::ForwardReply>();
  }
  Awaitable<peer::wire::TokenReply> OnAskToken(peer::wire::TokenRequest aRequest) override
  {
    co_return co_await mTokens.Give(std::move(aRequest));
  }
  Tokens& mTokens;
};

} // namespace

// Guards against organisations that are refused in some data centres for minutes: a
// holder elsewhere that sent this instance a heartbeat once, and then none because this
// instance is not among those that get them, was not asked any more.
TEST_CASE("a holder of another data centre is asked although its heartbeats are old")
{
  HolderFixture lender;
  lender.mClock.Advance(2s);
  TokenServer handler(lender.mTokens);
  const std::string address = "127.0.0.1:28769";
  peer::Server server(lender.mContext, handler, address);
  Core borrower(lender.mContext,
                lender.mClock,
                { "d2", { "127.0.0.1", 1 }, "127.0.0.1:3", {}, "", 30s, 10s, 60s },
                { "127.0.0.1:3", 8 },
                "secret");
  borrower.AcceptConfig(decide::ParseConfig(kConfig));
  decide::ShareDocument document = lender.mCore.mShares.Document();
  document.mRecords[0].mHolder.mAddress = address;
  borrower.mShares.Observe(document, lender.mClock.Now());
  decide::MemberStatus status;
  status.mSelf = { address, 7 };
  status.mDataCentre = "d1";
  borrower.mMembers.RecordStatus(status, lender.mClock.Now());
  lender.mClock.Advance(60s);
  REQUIRE(borrower.mMembers.TimedOut(address, lender.mClock.Now()));
  Tokens tokens(borrower);
  bool given = false;
  for (int i = 0; i < 50 && !given; ++i) { // the first call only connects the channel
    lender.mClock.Advance(1s);
    given = test::RunCoroutine(
      lender.mContext, tokens.Take(lender.mBudget, decide::kToken, lender.mClock.Now()));
    std::this_thread::sleep_for(20ms);
  }
  CHECK(given);
  std::thread closer([&] {
    server.Close();
    lender.mContext.stop();
  });
  lender.mContext.restart();
  auto work = boost::asio::make_work_guard(lender.mContext);
  lender.mContext.run();
  closer.join();
}

TEST_CASE("borrowed tokens are given within the data centre and not to another one")
{
  HolderFixture fixture;
  fixture.Borrow(1);
  CHECK_FALSE(fixture.Ask("d2").given());
  CHECK(fixture.Ask("d1").given());
  CHECK_FALSE(fixture.Ask("d1").given());
}

TEST_CASE("a holder gives a batch from its share, and the whole of it once")
{
  HolderFixture fixture;
  fixture.mClock.Advance(2s);
  decide::MicroTokens burst =
    fixture.mCore.mShares.CurrentShare(fixture.mBudget, fixture.mClock.Now()).mBurst;
  auto reply = fixture.Ask("d2", 1000);
  CHECK(reply.given());
  auto lent = decide::kToken + decide::MicroTokens(reply.extra_micro_tokens());
  CHECK(lent == (burst - burst / 4) / decide::kToken * decide::kToken);
  CHECK(fixture.Ask("d2", 1000).extra_micro_tokens() == 0);
}

// The clock does not advance, so the wait ends by what another request borrows.
TEST_CASE("a holder lets an instance of its data centre wait for tokens")
{
  HolderFixture fixture;
  boost::asio::steady_timer timer(fixture.mContext, 5ms);
  timer.async_wait([&](auto) {
    fixture.mClock.Advance(50ms);
    fixture.Borrow(1);
  });
  auto reply = fixture.Ask("d1", 0, 150);
  CHECK(reply.given());
  CHECK(reply.waited_us() == 50'000);
}

TEST_CASE("more requests than the whole budget can serve in time are refused at once")
{
  HolderFixture fixture;
  boost::asio::co_spawn(
    fixture.mContext,
    [&]() -> Awaitable<void> {
      co_await fixture.mTokens.Take(
        fixture.mBudget, 30 * decide::kToken, fixture.mClock.Now() + 100ms);
    },
    boost::asio::detached);
  fixture.mContext.poll();
  CHECK_FALSE(fixture.Ask("d1", 0, 100).given());
}
