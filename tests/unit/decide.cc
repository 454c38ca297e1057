// Unit tests of src/decide: budgets and shares, configuration, tickets, backend server
// choice, membership, look-ups and runbooks.
#include <doctest/doctest.h>

#include <fmt/format.h>

#include "base/clock.h"
#include "decide/accept.h"
#include "decide/blocks.h"
#include "decide/config.h"
#include "decide/fair.h"
#include "decide/lookup.h"
#include "decide/member.h"
#include "decide/runbook.h"
#include "decide/share.h"
#include "decide/steer.h"
#include "decide/ticket.h"

using namespace vanillaloft;
using namespace vanillaloft::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1000s };

std::string SmallConfig(unsigned aRevision = 1, unsigned aRate = 100, unsigned aSlots = 2)
{
  return fmt::format(R"({{"revision":{},"floor_percent":50,
    "regions":[{{"name":"r","data_centres":["d1","d2"]}}],
    "organisations":[{{"name":"shop","rate_per_s":{},"burst":40,
      "keys":[{{"id":"k","sha256":"{}"}}]}}],
    "profiles":[{{"name":"p","ramp_ms":0,"spill_percent":50,"shift_cap_percent":30}}],
    "services":[{{"name":"s","profile":"p",
      "routes":[{{"path":"/s/","kind":"lookup"}},{{"path":"/s/order","kind":"order"}}],
      "backend_servers":[{{"name":"b1","data_centre":"d1","address":"127.0.0.1:9001","slots":{}}},
                 {{"name":"b2","data_centre":"d1","address":"127.0.0.1:9002","slots":{}}}]}}],
    "client_blocks":[{{"block":"10.0.0.0/8","data_centre":"d2"}}]}})",
                     aRevision,
                     aRate,
                     DigestText("secret"),
                     aSlots,
                     aSlots);
}

std::string WithReplacement(std::string aText,
                            const std::string& aFrom,
                            const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

std::string ConfigErrorOf(const std::string& aText)
{
  try {
    ParseConfig(aText);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

MemberStatus StatusAt(const std::string& aAddress, const std::string& aDataCentre)
{
  MemberStatus status;
  status.mSelf = { aAddress, 1 };
  status.mDataCentre = aDataCentre;
  status.mEntryAddress = aAddress;
  status.mReady = true;
  return status;
}

// An instance that has owned the servers of d1 for the hand-over delay, so that it may
// send to them. The first aServing of them are in state Serving.
Steering SteeringWithOwnership(const Members& aMembers, std::size_t aServing)
{
  Steering steer("d1");
  steer.SetConfig(ParseConfig(SmallConfig()), kStart);
  for (std::size_t i = 0; i < aServing; ++i) {
    steer.Report(BackendServerId(i), ServerState::Serving, kStart);
  }
  for (Instant beat = kStart; beat <= kStart + kHandOverDelay; beat += 500ms) {
    steer.UpdateOwnership(aMembers, false, beat);
  }
  return steer;
}

// First time at which an instance that read the empty document at kStart may claim
// shares.
constexpr Instant kClaimStart = kStart + kNewHolderWait;

// A holder that read the empty document at kStart, so that it may claim shares from
// kClaimStart on.
ShareHolder HolderAfterWait(const Incarnation& aSelf,
                            const std::string& aDataCentre,
                            ConfigPtr aConfig)
{
  ShareHolder holder(aSelf, aDataCentre);
  holder.SetConfig(std::move(aConfig), kStart);
  holder.Observe({}, kStart);
  return holder;
}

// Reads the document, plans a write and commits it, as the daemon does, but with a
// document in memory. Returns false if the holder writes nothing.
bool Renew(ShareHolder& aHolder, ShareDocument& aDocument, Instant aNow)
{
  aHolder.Observe(aDocument, aNow);
  auto planned = aHolder.PlanWrite(aNow);
  if (!planned) {
    return false;
  }
  aDocument = *planned;
  aHolder.WriteCommitted(aNow);
  return true;
}

} // namespace

TEST_CASE("refunded tokens are available again, limited by the burst")
{
  Bucket bucket;
  bucket.SetRate({ 10 * kToken, 5 * kToken }, kStart);
  bucket.Refund(3 * kToken, kStart);
  CHECK(bucket.Level(kStart) == 3 * kToken);
  bucket.Refund(3 * kToken, kStart);
  CHECK(bucket.Level(kStart) == 5 * kToken);
}

TEST_CASE("a bucket starts empty and admits burst plus rate")
{
  Bucket bucket;
  bucket.SetRate({ 10 * kToken, 5 * kToken }, kStart);
  CHECK_FALSE(bucket.Take(kToken, kStart));
  unsigned taken = 0;
  for (int i = 0; i < 20; ++i) {
    taken += bucket.Take(kToken, kStart + 10s) ? 1 : 0;
  }
  CHECK(taken == 5);
  CHECK(bucket.TimeUntil(kToken, kStart + 10s) == 100ms + 1us);
}

TEST_CASE("a bucket with a lowered burst loses the tokens above it")
{
  Bucket bucket;
  bucket.SetRate({ 10 * kToken, 50 * kToken }, kStart);
  bucket.SetRate({ 10 * kToken, 3 * kToken }, kStart + 100s);
  CHECK(bucket.Level(kStart + 100s) == 3 * kToken);
  bucket.SetRate({ 10 * kToken, 50 * kToken }, kStart + 100s);
  CHECK(bucket.Level(kStart + 100s) == 3 * kToken);
}

TEST_CASE("frequent refills at a slow rate lose no fractions of a token")
{
  Bucket bucket;
  bucket.SetRate({ 3, 100 }, kStart);
  for (int i = 1; i <= 1000; ++i) {
    bucket.Level(kStart + i * 10ms);
  }
  CHECK(bucket.Level(kStart + 10s) == 30);
}

TEST_CASE("configuration errors name the path and the cause")
{
  std::string good = SmallConfig();
  CHECK(ConfigErrorOf(good).empty());
  CHECK(ConfigErrorOf("{").starts_with("/: is not JSON"));
  CHECK(ConfigErrorOf("{}") == "/: must name at least one region with a data centre");
  CHECK(ConfigErrorOf(WithReplacement(good, "\"burst\":40", "\"burst\":0")) ==
        "/organisations/0/burst: must be a whole number from 1 to 10000000");
  CHECK(ConfigErrorOf(WithReplacement(good, "\"burst\"", "\"brust\"")) ==
        "/organisations/0: has the unknown field 'brust'");
  CHECK(ConfigErrorOf(WithReplacement(good, "\"profile\":\"p\"", "\"profile\":\"q\"")) ==
        "/services/0/profile: names 'q', which does not exist");
  CHECK(ConfigErrorOf(WithReplacement(good, "\"name\":\"b2\"", "\"name\":\"b1\"")) ==
        "/services/0/backend_servers/1/name: repeats the name 'b1'");
  CHECK(ConfigErrorOf(WithReplacement(good, "10.0.0.0/8", "10.0.0.1/8")) ==
        "/client_blocks/0/block: has bits set behind its prefix");
  CHECK(ConfigErrorOf(WithReplacement(good, "127.0.0.1:9001", "backend:9001"))
          .find("IP address") != std::string::npos);
  CHECK(
    ConfigErrorOf(WithReplacement(good, "\"kind\":\"order\"", "\"kind\":\"orders\"")) ==
    "/services/0/routes/1/kind: must be 'open', 'lookup' or 'order'");
  CHECK(ConfigErrorOf(WithReplacement(good, "\"sha256\":\"", "\"sha256\":\"x"))
          .find("64 hexadecimal") != std::string::npos);
  CHECK(ConfigErrorOf(WithReplacement(good, "\"name\":\"shop\"", "\"name\":\"a~b\""))
          .find("may hold only") != std::string::npos);
}

TEST_CASE("a shift above its profile's cap is refused")
{
  std::string text = SmallConfig();
  text.pop_back();
  std::string shift =
    R"(,"steering":{"shifts":[{"service":"s","from":"d1","to":"d2","percent":)";
  CHECK(ConfigErrorOf(text + shift + "30}]}}").empty());
  CHECK(ConfigErrorOf(text + shift + "31}]}}").find("exceeds shift_cap_percent 30") !=
        std::string::npos);
}

TEST_CASE("the longest matching route path is chosen and keys are found by digest")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  CHECK(config->mRoutes[config->FindRoute("", "/s/order").Value()].mKind ==
        RouteKind::Order);
  CHECK(config->mRoutes[config->FindRoute("", "/s/x").Value()].mKind ==
        RouteKind::Lookup);
  CHECK(config->FindRoute("", "/t").IsNone());
  CHECK(config->FindKey(DigestKey("secret")) == OrganisationId(0));
  CHECK(config->FindKey(DigestKey("other")).IsNone());
}

TEST_CASE("of nested client blocks the one with the longest prefix is used")
{
  DataCentreId one(1);
  DataCentreId two(2);
  ClientBlocks blocks(
    { { 0x0a000000, 8, one }, { 0x0a010000, 16, two }, { 0xffffff00, 24, one } });
  CHECK(blocks.Find(0x09ffffff).IsNone());
  CHECK(blocks.Find(0x0a000001) == one);
  CHECK(blocks.Find(0x0a010203) == two);
  CHECK(blocks.Find(0x0a020000) == one);
  CHECK(blocks.Find(0x0b000000).IsNone());
  CHECK(blocks.Find(0xffffffff) == one);
}

TEST_CASE("the revision in force never decreases")
{
  Acceptor acceptor;
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2))) == RevisionCheck::Accepted);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(1))) == RevisionCheck::Older);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2, 50))) == RevisionCheck::Differs);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2))) == RevisionCheck::Known);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(3))) == RevisionCheck::Accepted);
  CHECK(acceptor.Current()->mRevision == 3);
}

TEST_CASE("the queue alternates between organisations, however long one's queue is")
{
  FairQueue queue;
  for (WaiterId i = 0; i < 10; ++i) {
    CHECK(queue.Push(OrganisationId(0), i));
  }
  CHECK(queue.Push(OrganisationId(1), 100));
  CHECK(queue.Pop() == 0);
  CHECK(queue.Pop() == 100);
  CHECK(queue.Pop() == 1);
  queue.Remove(OrganisationId(0), 2);
  CHECK(queue.Pop() == 3);
  CHECK(queue.Size() == 6);
  for (WaiterId i = 0; i < FairQueue::kMaxQueueLength; ++i) {
    CHECK(queue.Push(OrganisationId(2), i));
  }
  CHECK_FALSE(queue.Push(OrganisationId(2), 1000));
}

TEST_CASE("the shares of all holders never exceed the total")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareHolder two = HolderAfterWait({ "d2:1", 2 }, "d2", config);
  ShareDocument document;
  BudgetId budget = config->mOrganisations[0].mBudget;
  for (int i = 0; i < 20; ++i) {
    Instant now = kClaimStart + i * 2s;
    one.CountDemand(budget, (i % 7) * kToken, now);
    two.CountDemand(budget, (i % 3) * kToken, now);
    CHECK(Renew(i % 2 == 0 ? one : two, document, now));
    CHECK(document.PoolInUse("organisation:shop") <= kWholePool);
    Rate sum{
      one.CurrentShare(budget, now).mPerSecond + two.CurrentShare(budget, now).mPerSecond,
      one.CurrentShare(budget, now).mBurst + two.CurrentShare(budget, now).mBurst
    };
    CHECK(sum.mPerSecond <= 100 * kToken);
    CHECK(sum.mBurst <= 40 * kToken);
  }
}

TEST_CASE("a new holder claims nothing before others could repair an emptied store")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one({ "d1:1", 1 }, "d1");
  one.SetConfig(config, kStart);
  ShareDocument document;
  CHECK_FALSE(Renew(one, document, kStart));
  CHECK_FALSE(Renew(one, document, kClaimStart - 1us));
  CHECK(Renew(one, document, kClaimStart));
}

TEST_CASE("an older document is repaired and gives no holder a larger share")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareHolder two = HolderAfterWait({ "d2:1", 2 }, "d2", config);
  ShareDocument document;
  CHECK(Renew(one, document, kClaimStart));
  CHECK(Renew(two, document, kClaimStart));
  ShareDocument emptied;
  CHECK(Renew(two, emptied, kClaimStart + 1s));
  CHECK(emptied.Find({ "d1:1", 1 }));
  CHECK(emptied.mWrites > document.mWrites);
  CHECK(Renew(one, emptied, kClaimStart + 2s));
  CHECK(one.HoldsFloor(kClaimStart + 2s));
  CHECK(emptied.PoolInUse("organisation:shop") <= kWholePool);
}

TEST_CASE("a lease that is not renewed ends for its holder before others may reclaim")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(one, document, kClaimStart));
  Rate full = one.CurrentShare(budget, kClaimStart);
  CHECK(one.HoldsPool(kClaimStart + HolderLease(kPoolLease) - 1us));
  CHECK_FALSE(one.HoldsPool(kClaimStart + HolderLease(kPoolLease)));
  CHECK(one.CurrentShare(budget, kClaimStart + kPoolLease).mPerSecond < full.mPerSecond);
  CHECK(one.HoldsFloor(kClaimStart + kPoolLease));
  CHECK(HolderLease(kPoolLease) < ReclaimDelay(kPoolLease));
}

TEST_CASE("shares of a write without reply are unused until it is read back")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareDocument written = *one.PlanWrite(kClaimStart);
  one.WriteOutcomeUnknown();
  CHECK(one.CurrentShare(budget, kClaimStart) == Rate{});
  one.Observe(written, kClaimStart + 1s);
  CHECK(one.IsHolder());
  CHECK(one.CurrentShare(budget, kClaimStart + 1s).mPerSecond > 0);
  CHECK_FALSE(one.HoldsPool(kClaimStart + HolderLease(kPoolLease)));
}

TEST_CASE(
  "a successor at the same address takes over at once, another address after expiry")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder dead = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(dead, document, kClaimStart));
  ShareDocument before = document;
  ShareHolder successor({ "d1:1", 2 }, "d1");
  successor.SetConfig(config, kClaimStart + 1s);
  CHECK(Renew(successor, document, kClaimStart + 1s));
  CHECK(successor.HoldsFloor(kClaimStart + 1s));
  CHECK_FALSE(
    successor.Debit(budget, kToken, kClaimStart + 1s)); // the bucket starts empty
  ShareHolder otherAddress({ "d1:2", 3 }, "d1");
  otherAddress.SetConfig(config, kClaimStart + 1s);
  CHECK_FALSE(Renew(otherAddress, before, kClaimStart + 1s));
  CHECK_FALSE(Renew(otherAddress, before, kClaimStart + 1s + kPoolLease));
  CHECK(Renew(otherAddress, before, kClaimStart + 1s + ReclaimDelay(kPoolLease)));
  CHECK_FALSE(otherAddress.HoldsFloor(kClaimStart + 1s + ReclaimDelay(kPoolLease)));
}

// Guards against organisations with a small limit that are refused while nobody holds
// their pool: a single request elsewhere moved it.
TEST_CASE("single requests elsewhere do not move a small pool")
{
  ConfigPtr config =
    ParseConfig(WithReplacement(SmallConfig(1, 3), R"("burst":40)", R"("burst":3)"));
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareHolder two = HolderAfterWait({ "d2:1", 2 }, "d2", config);
  BudgetId budget = config->mOrganisations[0].mBudget;
  MicroTokens whole =
    UsableBudgetOf(config->mBudgets[budget.Value()].mTotal).mRate.mPerSecond;
  ShareDocument document;
  for (int i = 0; i < 20; ++i) {
    Instant now = kClaimStart + i * 1s;
    if (i % 3 == 2) {
      (i % 2 == 0 ? two : one).CountDemand(budget, kToken, now);
    }
    CHECK(Renew(i % 2 == 0 ? one : two, document, now));
    MicroTokens held =
      one.CurrentShare(budget, now).mPerSecond + two.CurrentShare(budget, now).mPerSecond;
    CHECK(held == whole);
  }
}

// Guards against organisations with a small limit whose callers are everywhere: every few
// seconds another data centre has most of the few requests, and nobody holds the pool
// while it moves.
TEST_CASE("a small pool stays while the demand of all data centres is alike")
{
  ConfigPtr config =
    ParseConfig(WithReplacement(SmallConfig(1, 10), R"("burst":40)", R"("burst":3)"));
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareHolder two = HolderAfterWait({ "d2:1", 2 }, "d2", config);
  BudgetId budget = config->mOrganisations[0].mBudget;
  MicroTokens whole =
    UsableBudgetOf(config->mBudgets[budget.Value()].mTotal).mRate.mPerSecond;
  ShareDocument document;
  for (int i = 0; i < 40; ++i) {
    Instant now = kClaimStart + i * 500ms;
    ShareHolder& busy = i / 8 % 2 == 0 ? two : one;
    busy.CountDemand(budget, kToken, now);
    CHECK(Renew(i % 2 == 0 ? one : two, document, now));
    MicroTokens held =
      one.CurrentShare(budget, now).mPerSecond + two.CurrentShare(budget, now).mPerSecond;
    CHECK(held == whole);
  }
}

// Guards against a small pool that no longer follows callers who moved.
TEST_CASE("a small pool follows most of the callers")
{
  ConfigPtr config =
    ParseConfig(WithReplacement(SmallConfig(1, 10), R"("burst":40)", R"("burst":3)"));
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareHolder two = HolderAfterWait({ "d2:1", 2 }, "d2", config);
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareDocument document;
  for (int i = 0; i < 20; ++i) {
    Instant now = kClaimStart + i * 500ms;
    two.CountDemand(budget, 3 * kToken, now);
    CHECK(Renew(i % 2 == 0 ? one : two, document, now));
  }
  CHECK(two.CurrentShare(budget, kClaimStart + 10s).mPerSecond > 0);
  CHECK(one.CurrentShare(budget, kClaimStart + 10s).mPerSecond == 0);
}

TEST_CASE("lent tokens lapse with their lease or a configuration and are not lent again")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder borrower = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  Instant lapse = kStart + 100ms;
  borrower.AddLoan(budget, 2 * kToken, lapse, kStart);
  CHECK(borrower.Lend(budget, kToken, kToken, kStart) == 0);
  CHECK(borrower.Debit(budget, kToken, lapse - 1us));
  CHECK_FALSE(borrower.Debit(budget, kToken, lapse));
  borrower.AddLoan(budget, kToken, lapse, lapse);
  CHECK_FALSE(borrower.Debit(budget, kToken, lapse));
  borrower.AddLoan(budget, kToken, lapse + 1s, lapse);
  borrower.SetConfig(ParseConfig(SmallConfig(2)), lapse);
  CHECK_FALSE(borrower.Debit(budget, kToken, lapse));
}

TEST_CASE("a loan beyond what must be given leaves a reserve in the lender's bucket")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder lender = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(lender, document, kClaimStart));
  Instant now = kClaimStart + 2s;
  MicroTokens burst = lender.CurrentShare(budget, now).mBurst;
  MicroTokens lent = lender.Lend(budget, kToken, 1000 * kToken, now);
  CHECK(lent == (burst - burst / 4) / kToken * kToken);
  CHECK(lender.Lend(budget, kToken, 5 * kToken, now) == kToken);
  CHECK(lender.Lend(budget, burst, burst, now) == 0);
}

TEST_CASE("a planned stop releases the whole share")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = HolderAfterWait({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(one, document, kClaimStart));
  auto without = one.ReleaseShares(kClaimStart + 1s);
  REQUIRE(without);
  CHECK(without->mRecords.empty());
  CHECK_FALSE(one.Debit(budget, kToken, kClaimStart + 60s));
  CHECK_FALSE(Renew(one, document, kClaimStart + 60s));
}

TEST_CASE("a share document is unchanged by serialisation and parsing")
{
  ShareDocument document;
  document.mRecords.push_back({ "d1",
                                { "127.0.0.1:1", 7 },
                                9,
                                true,
                                { { "organisation:x", 300 } },
                                { { "y", 5 } } });
  ShareDocument again = ShareDocument::Parse(document.Text());
  REQUIRE(again.mRecords.size() == 1);
  CHECK(again.Text() == document.Text());
  CHECK_THROWS(ShareDocument::Parse("{}"));
}

TEST_CASE("a ticket starts one order and repeated requests get its outcome")
{
  TicketLedger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  std::string ticket = *ledger.Issue("shop", kStart);
  TicketDecision first = ledger.Admit(ticket, "shop", "body", kStart);
  CHECK(first.mKind == TicketDecision::Kind::Start);
  TicketDecision second = ledger.Admit(ticket, "shop", "body", kStart);
  CHECK(second.mRefusal == base::Result::OrderInProgress);
  ledger.Finish(1, Outcome{ base::Result::Ok, 201, "text/plain", "done", {}, {} });
  TicketDecision third = ledger.Admit(ticket, "shop", "body", kStart + 1s);
  CHECK(third.mKind == TicketDecision::Kind::Repeat);
  CHECK(third.mOutcome.mStatus == 201);
  CHECK(ledger.Admit(ticket, "shop", "other", kStart + 1s).mRefusal ==
        base::Result::TicketBodyDiffers);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart + 30s).mRefusal ==
        base::Result::TicketExpired);
  CHECK(ledger.Size() == 0);
  CHECK(ledger.AnswerBytes() == 0);
}

TEST_CASE("a forged ticket, another organisation's or a predecessor's starts no order")
{
  TicketLedger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  TicketLedger former({ "127.0.0.1:1", 4 }, "former secret", 30s);
  std::string ticket = *ledger.Issue("shop", kStart);
  CHECK(ledger.Admit(ticket, "thief", "body", kStart).mRefusal ==
        base::Result::TicketInvalid);
  std::string forged = ticket;
  forged.back() = forged.back() == '0' ? '1' : '0';
  CHECK(ledger.Admit(forged, "shop", "body", kStart).mRefusal ==
        base::Result::TicketInvalid);
  CHECK(ledger.Admit("nonsense", "shop", "body", kStart).mRefusal ==
        base::Result::TicketInvalid);
  std::string old = *former.Issue("shop", kStart);
  CHECK(ledger.Admit(old, "shop", "body", kStart).mRefusal ==
        base::Result::OutcomeUnknown);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind ==
        TicketDecision::Kind::Start);
}

TEST_CASE(
  "the ticket of an order that did not run may be used again for the same request only")
{
  TicketLedger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  std::string ticket = *ledger.Issue("shop", kStart);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind ==
        TicketDecision::Kind::Start);
  ledger.Release(1);
  CHECK(ledger.Admit(ticket, "shop", "other", kStart).mRefusal ==
        base::Result::TicketBodyDiffers);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind ==
        TicketDecision::Kind::Start);
}

TEST_CASE("the ledger bounds its tickets and the bytes of kept responses")
{
  TicketLedger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  for (std::size_t i = 0; i < TicketLedger::kMaxTickets; ++i) {
    REQUIRE(ledger.Issue("shop", kStart));
  }
  CHECK_FALSE(ledger.Issue("shop", kStart));
  std::string large(TicketLedger::kMaxKeptAnswerBytes + 1, 'x');
  ledger.Finish(1, Outcome{ base::Result::Ok, 200, "", large, {}, {} });
  CHECK(ledger.AnswerBytes() == 0);
  CHECK(ledger.Issue("shop", kStart + 30s));
  CHECK(ledger.Size() == 1);
}

TEST_CASE("slots of an owned server are counted exactly and can be reused after release")
{
  Steering steer("d1");
  steer.SetConfig(ParseConfig(SmallConfig()), kStart);
  Members members("d1:1", "d1");
  steer.UpdateOwnership(members, false, kStart);
  for (std::size_t i : { 0, 1 }) {
    steer.Report(BackendServerId(i), ServerState::Serving, kStart);
  }
  ServiceId service(0);
  CHECK_FALSE(
    steer.Acquire(service, Origin::Local, kStart + 500ms)); // within the hand-over delay
  Instant now = kStart + kHandOverDelay;
  for (Instant beat = kStart; beat <= now; beat += 500ms) {
    steer.UpdateOwnership(members, false, beat);
  }
  std::vector<Slot> slots;
  for (int i = 0; i < 4; ++i) {
    auto slot = steer.Acquire(service, Origin::Local, now);
    REQUIRE(slot);
    slots.push_back(*slot);
  }
  CHECK_FALSE(steer.Acquire(service, Origin::Local, now));
  Steering::Release(slots[0], AttemptOutcome::Answered, now);
  CHECK(steer.Acquire(service, Origin::Local, now));
  Steering::Release(slots[1], AttemptOutcome::Shed, now);
  CHECK_FALSE(steer.Acquire(service, Origin::Local, now + kShedPause - 1ms));
  CHECK(steer.Acquire(service, Origin::Local, now + kShedPause));
}

TEST_CASE("remote requests get only the spill percentage of the slots")
{
  Members members("d1:1", "d1");
  Steering steer = SteeringWithOwnership(members, 2);
  Instant now = kStart + kHandOverDelay;
  CHECK(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK_FALSE(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK(steer.Acquire(ServiceId(0), Origin::Local, now));
}

TEST_CASE("a process that was frozen sends nothing until the hand-over delay has passed")
{
  Members members("d1:1", "d1");
  Steering steer = SteeringWithOwnership(members, 1);
  Instant resumed = kStart + 60s;
  CHECK_FALSE(steer.Acquire(ServiceId(0), Origin::Local, resumed));
  steer.UpdateOwnership(members, false, resumed);
  CHECK_FALSE(steer.Acquire(
    ServiceId(0), Origin::Local, resumed)); // the hand-over delay starts again
}

TEST_CASE("a slot stays valid after a change of the configuration")
{
  Members members("d1:1", "d1");
  Steering steer = SteeringWithOwnership(members, 1);
  auto slot = steer.Acquire(ServiceId(0), Origin::Local, kStart + kHandOverDelay);
  REQUIRE(slot);
  steer.SetConfig(ParseConfig(SmallConfig(2, 100, 3)), kStart + kHandOverDelay);
  CHECK(steer.Views()[0]->mInFlight == 1);
  Steering::Release(*slot, AttemptOutcome::Answered, kStart + kHandOverDelay);
  CHECK(steer.Views()[0]->mInFlight == 0);
}

TEST_CASE("every backend server has one owner among the alive instances")
{
  Members one("d1:1", "d1");
  Members two("d1:2", "d1");
  one.RecordStatus(StatusAt("d1:2", "d1"), kStart);
  two.RecordStatus(StatusAt("d1:1", "d1"), kStart);
  for (const char* server : { "a", "b", "c", "d", "e", "f" }) {
    CHECK(one.OwnsBackendServer(server, false, kStart) !=
          two.OwnsBackendServer(server, false, kStart));
    CHECK(one.OwnerOf(server, true, kStart) == "d1:2");
    CHECK(one.OwnsBackendServer(server, true, kStart + kMemberTimeout));
  }
}

TEST_CASE("look-ups return ready instances of the nearest data centre, no leaving ones")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  Members members("d1:1", "d1");
  members.RecordStatus(StatusAt("d2:1", "d2"), kStart);
  LookUp lookUp;
  lookUp.Rebuild(config, members, StatusAt("d1:1", "d1"), kStart);
  REQUIRE(lookUp.InstancesForClient(0x0a000001).size() == 1);
  CHECK(lookUp.InstancesForClient(0x0a000001)[0].mAddress == "d2:1");
  CHECK(lookUp.InstancesForClient(0x01010101)[0].mAddress == "d1:1");
  MemberStatus leaving = StatusAt("d2:1", "d2");
  leaving.mLeaving = true;
  members.RecordStatus(leaving, kStart);
  lookUp.Rebuild(config, members, StatusAt("d1:1", "d1"), kStart);
  CHECK(lookUp.InstancesForClient(0x0a000001)[0].mAddress == "d1:1");
}

// Guards against every instance asking the store for a confirmation: 58 instances each
// asked for the one that another instance had just received.
TEST_CASE("one instance of a data centre confirms the configuration for the others")
{
  Members members("d1:2", "d1");
  CHECK(members.MaxConfirmAge(kStart) == kMaxConfirmAge);
  members.RecordStatus(StatusAt("d2:1", "d2"), kStart);
  CHECK(members.MaxConfirmAge(kStart) == kMaxConfirmAge);
  members.RecordStatus(StatusAt("d1:1", "d1"), kStart);
  CHECK(members.MaxConfirmAge(kStart) == kMaxConfirmAgeFallback);
  CHECK(members.MaxConfirmAge(kStart + kMemberTimeout) == kMaxConfirmAge);
}

TEST_CASE("heartbeats grow with the data centre's size and the logarithm of their number")
{
  Members members("c000:0", "c000");
  for (int centre = 0; centre < 121; ++centre) {
    for (int i = 0; i < 26; ++i) {
      members.AddAddress(fmt::format("c{:03}:{}", centre, i),
                         fmt::format("c{:03}", centre));
    }
  }
  CHECK(members.HeartbeatTargets().size() == 25 + 2 * 7);
}

namespace {

std::string RunbookConfig()
{
  std::string text = SmallConfig();
  text.pop_back();
  return text + R"(,"runbooks":[{"name":"book","steps":[{"do":"check"},
    {"do":"shift","service":"s","from":"d1","to":"d2","percent":12},{"do":"wait","seconds":4},
    {"do":"drain","target":"b1"},{"do":"pause"},{"do":"undrain","target":"b1"}]},
    {"name":"all","steps":[{"do":"drain","target":"b1"},{"do":"drain","target":"d1"}]}]})";
}

RunConditions FavourableConditions()
{
  RunConditions view;
  view.mSinceLastAdvance = kRunInterval;
  view.mTargetFreeSlots = 3;
  view.mConfirmedEverywhere = true;
  return view;
}

Run StartedRun()
{
  Run run;
  run.mId = "r1";
  run.mRunbook = "book";
  return run;
}

} // namespace

TEST_CASE("a runbook executes its steps in order, one change at a time")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  std::vector<unsigned> percents;
  std::vector<std::string> drains;
  for (int i = 0; i < 20 && run.IsOpen(); ++i) {
    run.mState = RunState::Running; // as if an operator resumed each pause
    RunUpdate advance = AdvanceRun(run, *config, FavourableConditions());
    if (advance.mChange && advance.mChange->mAction == Action::Shift) {
      percents.push_back(advance.mChange->mPercent);
    } else if (advance.mChange) {
      drains.push_back(advance.mChange->mTarget);
    }
    run = advance.mNext;
  }
  CHECK(run.mState == RunState::Done);
  CHECK(percents == std::vector<unsigned>{ 5, 10, 12 });
  CHECK(drains == std::vector<std::string>{ "b1", "b1" });
}

TEST_CASE("a shift that cannot grow records the reason in its note")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  run.mStep = 1;
  run.mPercent = 5;
  RunConditions full = FavourableConditions();
  full.mTargetFreeSlots = 0;
  RunUpdate held = AdvanceRun(run, *config, full);
  CHECK_FALSE(held.mChange);
  CHECK(held.mNext.mNote == "shift held at 5%: the receiver offers no free slot");
  RunConditions unconfirmed = FavourableConditions();
  unconfirmed.mConfirmedEverywhere = false;
  CHECK_FALSE(AdvanceRun(run, *config, unconfirmed).mChange);
  CHECK(AdvanceRun(run, *config, unconfirmed).mNext.mNote.starts_with("shift held"));
}

TEST_CASE("a paused run does nothing and an aborted one restores the steering section")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  run.mState = RunState::Paused;
  CHECK(AdvanceRun(run, *config, FavourableConditions()).mNext.mStep == 0);
  run.mState = RunState::Aborting;
  RunUpdate advance = AdvanceRun(run, *config, FavourableConditions());
  CHECK(advance.mRestore);
  CHECK(advance.mNext.mState == RunState::Aborted);
}

TEST_CASE("a runbook that would overload a service is refused with figures")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  CHECK(RunbookRefusal(*config, config->mRunbooks[0], { 1 }).empty());
  CHECK(RunbookRefusal(*config, config->mRunbooks[0], { 2 }) ==
        "step 4 (drain b1) leaves service s with 2 slots for 2 requests in flight; at "
        "most 80% may "
        "be used");
  CHECK(RunbookRefusal(*config, config->mRunbooks[1], { 0 })
          .starts_with("step 2 (drain d1)"));
}

TEST_CASE("steering changes are idempotent and the whole section can be restored")
{
  std::string text = RunbookConfig();
  std::string before = SteeringOf(text);
  SteeringChange drain{ Action::Drain, "b1", "", "", "", 0 };
  std::string once = EditSteering(text, drain, 2, "op1");
  std::string twice = EditSteering(once, drain, 3, "op2");
  CHECK(SteeringOf(once) == SteeringOf(twice));
  CHECK(ParseConfig(once)->mBackendServers[0].mDrained);
  CHECK(twice.find("\"previous\": \"op1\"") != std::string::npos);
  std::string restored = RestoreSteering(twice, before, 4, "op3");
  CHECK_FALSE(ParseConfig(restored)->mBackendServers[0].mDrained);
  SteeringChange shift{ Action::Shift, "", "s", "d1", "d2", 20 };
  std::string shifted = EditSteering(text, shift, 2, "op");
  REQUIRE(ParseConfig(shifted)->mShifts.size() == 1);
  shift.mPercent = 0;
  CHECK(ParseConfig(EditSteering(shifted, shift, 3, "op"))->mShifts.empty());
}

TEST_CASE("a run is unchanged by serialisation and parsing")
{
  Run run = StartedRun();
  run.mState = RunState::Paused;
  run.mElapsed = 1500ms;
  run.mRunner = { "127.0.0.1:1", 9 };
  run.mUndo = "{\"drained\":[]}";
  CHECK(Run::Parse(run.Text()).Text() == run.Text());
  CHECK_THROWS(Run::Parse("{}"));
}
