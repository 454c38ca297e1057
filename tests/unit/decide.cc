// Tests of the package decide.
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

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

std::string ErrorOf(const std::string& aText)
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

// Choices of an instance that has owned the servers of d1 for long enough to send to
// them; the first aServing of them serve.
Steer OwningSteer(const Members& aMembers, std::size_t aServing)
{
  Steer steer("d1");
  steer.SetConfig(ParseConfig(SmallConfig()), kStart);
  for (std::size_t i = 0; i < aServing; ++i) {
    steer.Report(BackendServerId(i), ServerState::Serving, kStart);
  }
  for (Instant beat = kStart; beat <= kStart + kHandOver; beat += 500ms) {
    steer.Beat(aMembers, false, beat);
  }
  return steer;
}

// A time at which an instance that looked at the empty document at kStart may begin.
constexpr Instant kBegin = kStart + kNewcomerWait;

// A holder that has waited as a newcomer has to.
ShareHolder Waited(const Incarnation& aSelf,
                   const std::string& aDataCentre,
                   ConfigPtr aConfig)
{
  ShareHolder holder(aSelf, aDataCentre);
  holder.SetConfig(std::move(aConfig), kStart);
  holder.Observe({}, kStart);
  return holder;
}

// Reads, plans and writes as the daemon does, against a document in memory.
bool Renew(ShareHolder& aHolder, ShareDocument& aDocument, Instant aNow)
{
  aHolder.Observe(aDocument, aNow);
  auto planned = aHolder.Plan(aNow);
  if (!planned) {
    return false;
  }
  aDocument = *planned;
  aHolder.Committed(aNow);
  return true;
}

} // namespace

TEST_CASE("tokens that are put back can be taken again, within the burst")
{
  Bucket bucket;
  bucket.SetRate({ 10 * kToken, 5 * kToken }, kStart);
  bucket.Put(3 * kToken, kStart);
  CHECK(bucket.Level(kStart) == 3 * kToken);
  bucket.Put(3 * kToken, kStart);
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

TEST_CASE("a bucket whose burst is lowered loses what is above")
{
  Bucket bucket;
  bucket.SetRate({ 10 * kToken, 50 * kToken }, kStart);
  bucket.SetRate({ 10 * kToken, 3 * kToken }, kStart + 100s);
  CHECK(bucket.Level(kStart + 100s) == 3 * kToken);
  bucket.SetRate({ 10 * kToken, 50 * kToken }, kStart + 100s);
  CHECK(bucket.Level(kStart + 100s) == 3 * kToken);
}

TEST_CASE("slow rates lose no fractions")
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
  CHECK(ErrorOf(good).empty());
  CHECK(ErrorOf("{").starts_with("/: is not JSON"));
  CHECK(ErrorOf("{}") == "/: must name at least one region with a data centre");
  CHECK(ErrorOf(Replaced(good, "\"burst\":40", "\"burst\":0")) ==
        "/organisations/0/burst: must be a whole number from 1 to 10000000");
  CHECK(ErrorOf(Replaced(good, "\"burst\"", "\"brust\"")) ==
        "/organisations/0: has the unknown field 'brust'");
  CHECK(ErrorOf(Replaced(good, "\"profile\":\"p\"", "\"profile\":\"q\"")) ==
        "/services/0/profile: names 'q', which does not exist");
  CHECK(ErrorOf(Replaced(good, "\"name\":\"b2\"", "\"name\":\"b1\"")) ==
        "/services/0/backend_servers/1/name: repeats the name 'b1'");
  CHECK(ErrorOf(Replaced(good, "10.0.0.0/8", "10.0.0.1/8")) ==
        "/client_blocks/0/block: has bits set behind its prefix");
  CHECK(ErrorOf(Replaced(good, "127.0.0.1:9001", "backend:9001")).find("IP address") !=
        std::string::npos);
  CHECK(ErrorOf(Replaced(good, "\"kind\":\"order\"", "\"kind\":\"orders\"")) ==
        "/services/0/routes/1/kind: must be 'open', 'lookup' or 'order'");
  CHECK(
    ErrorOf(Replaced(good, "\"sha256\":\"", "\"sha256\":\"x")).find("64 hexadecimal") !=
    std::string::npos);
  CHECK(ErrorOf(Replaced(good, "\"name\":\"shop\"", "\"name\":\"a~b\""))
          .find("may hold only") != std::string::npos);
}

TEST_CASE("a shift above its profile's cap is refused")
{
  std::string text = SmallConfig();
  text.pop_back();
  std::string shift =
    R"(,"steering":{"shifts":[{"service":"s","from":"d1","to":"d2","percent":)";
  CHECK(ErrorOf(text + shift + "30}]}}").empty());
  CHECK(ErrorOf(text + shift + "31}]}}").find("exceeds shift_cap_percent 30") !=
        std::string::npos);
}

TEST_CASE("the longest route path wins and keys are found by digest")
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

TEST_CASE("client blocks nest and the longest holds")
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

TEST_CASE("a revision never reverts")
{
  Acceptor acceptor;
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2))) == Offer::Accepted);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(1))) == Offer::Older);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2, 50))) == Offer::Differs);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(2))) == Offer::Known);
  CHECK(acceptor.Accept(ParseConfig(SmallConfig(3))) == Offer::Accepted);
  CHECK(acceptor.Current()->mRevision == 3);
}

TEST_CASE("organisations take turns however long one's queue is")
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

TEST_CASE("shares of all holders never exceed the whole")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one = Waited({ "d1:1", 1 }, "d1", config);
  ShareHolder two = Waited({ "d2:1", 2 }, "d2", config);
  ShareDocument document;
  BudgetId budget = config->mOrganisations[0].mBudget;
  for (int i = 0; i < 20; ++i) {
    Instant now = kBegin + i * 2s;
    one.CountDemand(budget, (i % 7) * kToken, now);
    two.CountDemand(budget, (i % 3) * kToken, now);
    CHECK(Renew(i % 2 == 0 ? one : two, document, now));
    CHECK(document.PoolInUse("organisation:shop") <= kWhole);
    Rate sum{ one.InForce(budget, now).mPerSecond + two.InForce(budget, now).mPerSecond,
              one.InForce(budget, now).mBurst + two.InForce(budget, now).mBurst };
    CHECK(sum.mPerSecond <= 100 * kToken);
    CHECK(sum.mBurst <= 40 * kToken);
  }
}

TEST_CASE("a newcomer takes nothing before holders could repair an emptied store")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one({ "d1:1", 1 }, "d1");
  one.SetConfig(config, kStart);
  ShareDocument document;
  CHECK_FALSE(Renew(one, document, kStart));
  CHECK_FALSE(Renew(one, document, kBegin - 1us));
  CHECK(Renew(one, document, kBegin));
}

TEST_CASE("a document that went back is repaired and gives nobody more")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  ShareHolder one = Waited({ "d1:1", 1 }, "d1", config);
  ShareHolder two = Waited({ "d2:1", 2 }, "d2", config);
  ShareDocument document;
  CHECK(Renew(one, document, kBegin));
  CHECK(Renew(two, document, kBegin));
  ShareDocument emptied;
  CHECK(Renew(two, emptied, kBegin + 1s));
  CHECK(emptied.Find({ "d1:1", 1 }));
  CHECK(emptied.mWrites > document.mWrites);
  CHECK(Renew(one, emptied, kBegin + 2s));
  CHECK(one.HoldsFloor(kBegin + 2s));
  CHECK(emptied.PoolInUse("organisation:shop") <= kWhole);
}

TEST_CASE("a holder that is not renewed stops by its own clock before others may reclaim")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = Waited({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(one, document, kBegin));
  Rate full = one.InForce(budget, kBegin);
  CHECK(one.HoldsPool(kBegin + HolderTerm(kPoolTerm) - 1us));
  CHECK_FALSE(one.HoldsPool(kBegin + HolderTerm(kPoolTerm)));
  CHECK(one.InForce(budget, kBegin + kPoolTerm).mPerSecond < full.mPerSecond);
  CHECK(one.HoldsFloor(kBegin + kPoolTerm));
  CHECK(HolderTerm(kPoolTerm) < ReclaimTerm(kPoolTerm));
}

TEST_CASE("a write without reply gives nothing until it is read back")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = Waited({ "d1:1", 1 }, "d1", config);
  ShareDocument written = *one.Plan(kBegin);
  one.Unknown();
  CHECK(one.InForce(budget, kBegin) == Rate{});
  one.Observe(written, kBegin + 1s);
  CHECK(one.IsHolder());
  CHECK(one.InForce(budget, kBegin + 1s).mPerSecond > 0);
  CHECK_FALSE(one.HoldsPool(kBegin + HolderTerm(kPoolTerm)));
}

TEST_CASE(
  "a successor at the same address replaces its predecessor at once, another waits")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder dead = Waited({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(dead, document, kBegin));
  ShareDocument before = document;
  ShareHolder successor({ "d1:1", 2 }, "d1");
  successor.SetConfig(config, kBegin + 1s);
  CHECK(Renew(successor, document, kBegin + 1s));
  CHECK(successor.HoldsFloor(kBegin + 1s));
  CHECK_FALSE(successor.Spend(budget, kToken, kBegin + 1s)); // the bucket starts empty
  ShareHolder stranger({ "d1:2", 3 }, "d1");
  stranger.SetConfig(config, kBegin + 1s);
  CHECK_FALSE(Renew(stranger, before, kBegin + 1s));
  CHECK_FALSE(Renew(stranger, before, kBegin + 1s + kPoolTerm));
  CHECK(Renew(stranger, before, kBegin + 1s + ReclaimTerm(kPoolTerm)));
  CHECK_FALSE(stranger.HoldsFloor(kBegin + 1s + ReclaimTerm(kPoolTerm)));
}

TEST_CASE("a planned stop gives the whole share back")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  BudgetId budget = config->mOrganisations[0].mBudget;
  ShareHolder one = Waited({ "d1:1", 1 }, "d1", config);
  ShareDocument document;
  CHECK(Renew(one, document, kBegin));
  auto without = one.Leave(kBegin + 1s);
  REQUIRE(without);
  CHECK(without->mRecords.empty());
  CHECK_FALSE(one.Spend(budget, kToken, kBegin + 60s));
  CHECK_FALSE(Renew(one, document, kBegin + 60s));
}

TEST_CASE("the document survives its text form")
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

TEST_CASE("a ticket starts one order and repeats get its outcome")
{
  Ledger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  std::string ticket = *ledger.Issue("shop", kStart);
  Admission first = ledger.Admit(ticket, "shop", "body", kStart);
  CHECK(first.mKind == Admission::Kind::Start);
  Admission second = ledger.Admit(ticket, "shop", "body", kStart);
  CHECK(second.mRefusal == base::Result::OrderInProgress);
  ledger.Finish(1, Outcome{ base::Result::Ok, 201, "text/plain", "done", {}, {} });
  Admission third = ledger.Admit(ticket, "shop", "body", kStart + 1s);
  CHECK(third.mKind == Admission::Kind::Repeat);
  CHECK(third.mOutcome.mStatus == 201);
  CHECK(ledger.Admit(ticket, "shop", "other", kStart + 1s).mRefusal ==
        base::Result::TicketBodyDiffers);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart + 30s).mRefusal ==
        base::Result::TicketExpired);
  CHECK(ledger.Size() == 0);
  CHECK(ledger.AnswerBytes() == 0);
}

TEST_CASE("forged, foreign and former tickets start nothing")
{
  Ledger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  Ledger former({ "127.0.0.1:1", 4 }, "former secret", 30s);
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
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind == Admission::Kind::Start);
}

TEST_CASE(
  "an order that did not run may use its ticket again, but only for the same request")
{
  Ledger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  std::string ticket = *ledger.Issue("shop", kStart);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind == Admission::Kind::Start);
  ledger.Release(1);
  CHECK(ledger.Admit(ticket, "shop", "other", kStart).mRefusal ==
        base::Result::TicketBodyDiffers);
  CHECK(ledger.Admit(ticket, "shop", "body", kStart).mKind == Admission::Kind::Start);
}

TEST_CASE("what the ledger remembers is bounded")
{
  Ledger ledger({ "127.0.0.1:1", 5 }, "secret", 30s);
  for (std::size_t i = 0; i < Ledger::kMostTickets; ++i) {
    REQUIRE(ledger.Issue("shop", kStart));
  }
  CHECK_FALSE(ledger.Issue("shop", kStart));
  std::string large(Ledger::kLargestKeptAnswer + 1, 'x');
  ledger.Finish(1, Outcome{ base::Result::Ok, 200, "", large, {}, {} });
  CHECK(ledger.AnswerBytes() == 0);
  CHECK(ledger.Issue("shop", kStart + 30s));
  CHECK(ledger.Size() == 1);
}

TEST_CASE("slots of an owned server are counted exactly and released ones return")
{
  Steer steer("d1");
  steer.SetConfig(ParseConfig(SmallConfig()), kStart);
  Members members("d1:1", "d1");
  steer.Beat(members, false, kStart);
  for (std::size_t i : { 0, 1 }) {
    steer.Report(BackendServerId(i), ServerState::Serving, kStart);
  }
  ServiceId service(0);
  CHECK_FALSE(steer.Acquire(service, Origin::Local, kStart + 500ms)); // hand-over time
  Instant now = kStart + kHandOver;
  for (Instant beat = kStart; beat <= now; beat += 500ms) {
    steer.Beat(members, false, beat);
  }
  std::vector<Slot> slots;
  for (int i = 0; i < 4; ++i) {
    auto slot = steer.Acquire(service, Origin::Local, now);
    REQUIRE(slot);
    slots.push_back(*slot);
  }
  CHECK_FALSE(steer.Acquire(service, Origin::Local, now));
  Steer::Release(slots[0], Ending::Answered, now);
  CHECK(steer.Acquire(service, Origin::Local, now));
  Steer::Release(slots[1], Ending::Shed, now);
  CHECK_FALSE(steer.Acquire(service, Origin::Local, now + kShedPause - 1ms));
  CHECK(steer.Acquire(service, Origin::Local, now + kShedPause));
}

TEST_CASE("remote requests get only their part of the slots")
{
  Members members("d1:1", "d1");
  Steer steer = OwningSteer(members, 2);
  Instant now = kStart + kHandOver;
  CHECK(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK_FALSE(steer.Acquire(ServiceId(0), Origin::Remote, now));
  CHECK(steer.Acquire(ServiceId(0), Origin::Local, now));
}

TEST_CASE("a process that was frozen sends nothing before its next beat")
{
  Members members("d1:1", "d1");
  Steer steer = OwningSteer(members, 1);
  Instant woken = kStart + 60s;
  CHECK_FALSE(steer.Acquire(ServiceId(0), Origin::Local, woken));
  steer.Beat(members, false, woken);
  CHECK_FALSE(steer.Acquire(ServiceId(0), Origin::Local, woken)); // owned anew
}

TEST_CASE("a slot survives a change of the configuration")
{
  Members members("d1:1", "d1");
  Steer steer = OwningSteer(members, 1);
  auto slot = steer.Acquire(ServiceId(0), Origin::Local, kStart + kHandOver);
  REQUIRE(slot);
  steer.SetConfig(ParseConfig(SmallConfig(2, 100, 3)), kStart + kHandOver);
  CHECK(steer.Views()[0]->mInFlight == 1);
  Steer::Release(*slot, Ending::Answered, kStart + kHandOver);
  CHECK(steer.Views()[0]->mInFlight == 0);
}

TEST_CASE("every backend server has one owner among the living instances")
{
  Members one("d1:1", "d1");
  Members two("d1:2", "d1");
  one.Heard(StatusAt("d1:2", "d1"), kStart);
  two.Heard(StatusAt("d1:1", "d1"), kStart);
  for (const char* server : { "a", "b", "c", "d", "e", "f" }) {
    CHECK(one.OwnsBackendServer(server, false, kStart) !=
          two.OwnsBackendServer(server, false, kStart));
    CHECK(one.OwnerOf(server, true, kStart) == "d1:2");
    CHECK(one.OwnsBackendServer(server, true, kStart + kMemberTimeout));
  }
}

TEST_CASE("look-ups name the nearest data centre's instances and never a leaving one")
{
  ConfigPtr config = ParseConfig(SmallConfig());
  Members members("d1:1", "d1");
  members.Heard(StatusAt("d2:1", "d2"), kStart);
  LookUp lookUp;
  lookUp.Rebuild(config, members, StatusAt("d1:1", "d1"), kStart);
  REQUIRE(lookUp.Decide(0x0a000001).size() == 1);
  CHECK(lookUp.Decide(0x0a000001)[0].mAddress == "d2:1");
  CHECK(lookUp.Decide(0x01010101)[0].mAddress == "d1:1");
  MemberStatus leaving = StatusAt("d2:1", "d2");
  leaving.mLeaving = true;
  members.Heard(leaving, kStart);
  lookUp.Rebuild(config, members, StatusAt("d1:1", "d1"), kStart);
  CHECK(lookUp.Decide(0x0a000001)[0].mAddress == "d1:1");
}

// Pattern: 58 instances each asked the store for what one of them had just been told.
TEST_CASE("one instance of a data centre confirms the configuration for the others")
{
  Members members("d1:2", "d1");
  CHECK(members.ConfirmAfter(kStart) == kConfirmAfter);
  members.Heard(StatusAt("d2:1", "d2"), kStart);
  CHECK(members.ConfirmAfter(kStart) == kConfirmAfter);
  members.Heard(StatusAt("d1:1", "d1"), kStart);
  CHECK(members.ConfirmAfter(kStart) == kConfirmAlone);
  CHECK(members.ConfirmAfter(kStart + kMemberTimeout) == kConfirmAfter);
}

TEST_CASE("heartbeats grow with the data centre and the logarithm of their number")
{
  Members members("c000:0", "c000");
  for (int centre = 0; centre < 121; ++centre) {
    for (int i = 0; i < 26; ++i) {
      members.AddAddress(fmt::format("c{:03}:{}", centre, i),
                         fmt::format("c{:03}", centre));
    }
  }
  CHECK(members.Neighbours().size() == 25 + 2 * 7);
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

RunView GoodView()
{
  RunView view;
  view.mSinceLast = kRunInterval;
  view.mReceiverFree = 3;
  view.mInForceEverywhere = true;
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

TEST_CASE("a runbook goes through its steps one change at a time")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  std::vector<unsigned> percents;
  std::vector<std::string> drains;
  for (int i = 0; i < 20 && run.IsOpen(); ++i) {
    run.mState = RunState::Running; // an operator resumes whatever pauses
    Advance advance = AdvanceRun(run, *config, GoodView());
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

TEST_CASE("a shift holds and says why")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  run.mStep = 1;
  run.mPercent = 5;
  RunView full = GoodView();
  full.mReceiverFree = 0;
  Advance held = AdvanceRun(run, *config, full);
  CHECK_FALSE(held.mChange);
  CHECK(held.mNext.mNote == "shift held at 5%: the receiver offers no free slot");
  RunView unconfirmed = GoodView();
  unconfirmed.mInForceEverywhere = false;
  CHECK_FALSE(AdvanceRun(run, *config, unconfirmed).mChange);
  CHECK(AdvanceRun(run, *config, unconfirmed).mNext.mNote.starts_with("shift held"));
}

TEST_CASE("a paused run does nothing and an aborted one puts the steering back")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  Run run = StartedRun();
  run.mState = RunState::Paused;
  CHECK(AdvanceRun(run, *config, GoodView()).mNext.mStep == 0);
  run.mState = RunState::Aborting;
  Advance advance = AdvanceRun(run, *config, GoodView());
  CHECK(advance.mRestore);
  CHECK(advance.mNext.mState == RunState::Aborted);
}

TEST_CASE("a runbook that would overload a service is refused with the figures")
{
  ConfigPtr config = ParseConfig(RunbookConfig());
  CHECK(RefuseRunbook(*config, config->mRunbooks[0], { 1 }).empty());
  CHECK(RefuseRunbook(*config, config->mRunbooks[0], { 2 }) ==
        "step 4 (drain b1) leaves service s with 2 slots for 2 requests in flight; at "
        "most 80% may "
        "be used");
  CHECK(
    RefuseRunbook(*config, config->mRunbooks[1], { 0 }).starts_with("step 2 (drain d1)"));
}

TEST_CASE("steering is edited idempotently and restored whole")
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

TEST_CASE("a run survives its text form")
{
  Run run = StartedRun();
  run.mState = RunState::Paused;
  run.mElapsed = 1500ms;
  run.mRunner = { "127.0.0.1:1", 9 };
  run.mUndo = "{\"drained\":[]}";
  CHECK(Run::Parse(run.Text()).Text() == run.Text());
  CHECK_THROWS(Run::Parse("{}"));
}
