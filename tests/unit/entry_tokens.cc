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
struct TokenServer : peer::Handler
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

// Fails the first call, as if its answer were lost.
struct LosingTokenServer final : TokenServer
{
  using TokenServer::TokenServer;
  Awaitable<peer::wire::TokenReply> OnAskToken(peer::wire::TokenRequest aRequest) override
  {
    if (mCalls++ == 0) {
      throw std::runtime_error("lost");
    }
    co_return co_await mTokens.Give(std::move(aRequest));
  }
  int mCalls = 0;
};

// An instance of another process than the lender, which knows it from a heartbeat and
// from the share document.
struct BorrowerFixture
{
  HolderFixture mLender;
  Core mCore;
  Tokens mTokens{ mCore };

  BorrowerFixture(const std::string& aDataCentre, const std::string& aLenderAddress)
    : mCore(mLender.mContext,
            mLender.mClock,
            { aDataCentre, { "127.0.0.1", 1 }, "127.0.0.1:3", {}, "", 30s, 10s, 60s },
            { "127.0.0.1:3", 8 },
            "secret")
  {
    mLender.mClock.Advance(2s);
    mCore.AcceptConfig(decide::ParseConfig(kConfig));
    decide::ShareDocument document = mLender.mCore.mShares.Document();
    document.mRecords[0].mHolder.mAddress = aLenderAddress;
    mCore.mShares.Observe(document, mLender.mClock.Now());
    decide::MemberStatus status;
    status.mSelf = { aLenderAddress, 7 };
    status.mDataCentre = "d1";
    status.mHoldsShares = true;
    mCore.mMembers.RecordStatus(status, mLender.mClock.Now());
  }

  // Claims the shares of the data centre.
  void BecomeHolder()
  {
    mLender.mClock.Advance(decide::kNewHolderWait);
    mCore.mShares.Observe(mCore.mShares.Document(), mLender.mClock.Now());
    REQUIRE(mCore.mShares.PlanWrite(mLender.mClock.Now()));
    mCore.mShares.WriteCommitted(mLender.mClock.Now());
  }

  // Takes a token with time for one round of questions.
  bool Take()
  {
    return test::RunCoroutine(
      mLender.mContext,
      mTokens.Take(mLender.mBudget, decide::kToken, mLender.mClock.Now()));
  }

  // Ends the server while the context runs, as its calls need it.
  void Close(peer::Server& aServer)
  {
    std::thread closer([&] {
      aServer.Close();
      mLender.mContext.stop();
    });
    mLender.mContext.restart();
    auto work = boost::asio::make_work_guard(mLender.mContext);
    mLender.mContext.run();
    closer.join();
  }
};

} // namespace

// Guards against an instance that refuses all organisations for half a second: it was
// held up for 100 ms, so that no answer reached it in time, and then passed over every
// holder.
TEST_CASE("one lost answer does not keep an instance from all tokens")
{
  const std::string address = "127.0.0.1:28769";
  for (const char* dataCentre : { "d1", "d2" }) {
    CAPTURE(dataCentre);
    BorrowerFixture borrower(dataCentre, address);
    LosingTokenServer handler(borrower.mLender.mTokens);
    peer::Server server(borrower.mLender.mContext, handler, address);
    for (int i = 0; i < 50 && handler.mCalls == 0; ++i) { // connects the channel
      borrower.mLender.mClock.Advance(1s);
      CHECK_FALSE(borrower.Take());
      std::this_thread::sleep_for(20ms);
    }
    borrower.mLender.mClock.Advance(60ms);
    CHECK(borrower.Take());
    borrower.Close(server);
  }
}

// Guards against refusals that seem rightful in the metric: no holder had been asked.
TEST_CASE("a refusal while no holder answers is counted as one with tokens elsewhere")
{
  BorrowerFixture borrower("d2", "127.0.0.1:28769");
  for (int i = 0; i < 3; ++i) {
    borrower.mLender.mClock.Advance(50ms);
    CHECK_FALSE(borrower.Take());
    CHECK(borrower.mTokens.OthersMaySpare(borrower.mLender.mBudget));
  }
}

// Guards against a metric that rises with an organisation that is beyond its rate: the
// document's demand is seconds old, the answers of the holders are not.
TEST_CASE("a refusal after every holder answered that it has none is rightful")
{
  const std::string address = "127.0.0.1:28769";
  BorrowerFixture borrower("d2", address);
  LosingTokenServer handler(borrower.mLender.mTokens);
  peer::Server server(borrower.mLender.mContext, handler, address);
  borrower.BecomeHolder();
  decide::BudgetId budget = borrower.mLender.mBudget;
  base::ManualClock& clock = borrower.mLender.mClock;
  for (int i = 0; i < 50 && handler.mCalls < 2; ++i) {
    clock.Advance(1s);
    for (decide::ShareHolder* shares :
         { &borrower.mCore.mShares, &borrower.mLender.mCore.mShares }) {
      while (shares->Debit(budget, decide::kToken, clock.Now())) {
      }
    }
    CHECK_FALSE(borrower.Take());
    std::this_thread::sleep_for(20ms);
  }
  CHECK_FALSE(borrower.mTokens.OthersMaySpare(budget));
  borrower.Close(server);
}

// Guards against organisations that are refused in some data centres for minutes: a
// holder elsewhere that sent this instance a heartbeat once, and then none because this
// instance is not among those that get them, was not asked any more.
TEST_CASE("a holder of another data centre is asked although its heartbeats are old")
{
  const std::string address = "127.0.0.1:28769";
  BorrowerFixture borrower("d2", address);
  base::ManualClock& clock = borrower.mLender.mClock;
  TokenServer handler(borrower.mLender.mTokens);
  peer::Server server(borrower.mLender.mContext, handler, address);
  clock.Advance(60s);
  REQUIRE(borrower.mCore.mMembers.TimedOut(address, clock.Now()));
  bool given = false;
  for (int i = 0; i < 50 && !given; ++i) { // the first call only connects the channel
    clock.Advance(1s);
    given = borrower.Take();
    std::this_thread::sleep_for(20ms);
  }
  CHECK(given);
  borrower.Close(server);
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
