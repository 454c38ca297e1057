// Measures the figures of docs/CAPACITY.md on this machine: the memory and processor time
// that instancesPerCentre further client block, site, organisation, instance or data
// centre costs.
#include <chrono>
#include <functional>
#include <iostream>
#include <random>
#include <string>

#include <fmt/format.h>

#include "decide/blocks.h"
#include "decide/config.h"
#include "decide/lookup.h"
#include "decide/member.h"
#include "decide/share.h"

namespace {

using namespace vanillaloft::decide;
using namespace std::chrono_literals;

constexpr Instant kStart{ 1000s };

// Returns the mean time of a call over aCount calls, in nanoseconds.
double MeanNanoseconds(std::size_t aCount, const std::function<void(std::size_t)>& aCall)
{
  auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < aCount; ++i) {
    aCall(i);
  }
  std::chrono::duration<double, std::nano> taken =
    std::chrono::steady_clock::now() - start;
  return taken.count() / double(aCount);
}

std::string ConfigText(int aCentres, int aOrganisations, int aSites)
{
  std::string text = R"({"revision":1,"regions":[{"name":"r","data_centres":[)";
  for (int i = 0; i < aCentres; ++i) {
    text += fmt::format("{}\"c{:03}\"", i ? "," : "", i);
  }
  text += R"(]}],"organisations":[)";
  for (int i = 0; i < aOrganisations; ++i) {
    text += fmt::format(
      R"({}{{"name":"o{}","rate_per_s":1000,"burst":300,"keys":[{{"id":"k","sha256":"{}"}}]}})",
      i ? "," : "",
      i,
      DigestText(std::to_string(i)));
  }
  text +=
    R"(],"profiles":[{"name":"p"}],"services":[{"name":"s","profile":"p","routes":[{"path":"/s/","kind":"lookup"}],"backend_servers":[)";
  for (int i = 0; i < aSites; ++i) {
    text += fmt::format(
      R"({}{{"name":"b{}","data_centre":"c{:03}","address":"127.0.0.1:9000","slots":4}})",
      i ? "," : "",
      i,
      i % aCentres);
  }
  return text + "]}]}";
}

void MeasureBlocks()
{
  for (std::size_t count : { 250'000U, 500'000U, 1'000'000U, 2'000'000U }) {
    std::vector<ClientBlock> blocks;
    for (std::size_t i = 0; i < count; ++i) {
      blocks.push_back(
        { static_cast<std::uint32_t>(i * 2048), 21, DataCentreId((i * 7919) % 121) });
    }
    ClientBlocks table(std::move(blocks));
    std::mt19937 random(1);
    std::size_t sum = 0;
    double time = MeanNanoseconds(2'000'000, [&](std::size_t) {
      sum += table.Find(static_cast<std::uint32_t>(random())).Value() & 1U;
    });
    std::cout << fmt::format("blocks {}: {:.1f} MB, search {:.0f} ns ({})\n",
                             count,
                             double(table.Bytes()) / 1e6,
                             time,
                             sum % 2);
  }
}

void MeasureLookUp()
{
  ConfigPtr config = ParseConfig(ConfigText(121, 1, 10));
  Members members("x:0", "c000");
  MemberStatus self;
  self.mSelf = { "x:0", 1 };
  self.mDataCentre = "c000";
  self.mReady = true;
  for (int i = 0; i < 39; ++i) {
    MemberStatus status = self;
    status.mSelf.mAddress = fmt::format("x:{}", i + 1);
    status.mDataCentre = fmt::format("c{:03}", i % 121);
    members.RecordStatus(status, kStart);
  }
  LookUp lookUp;
  double rebuild = MeanNanoseconds(
    200, [&](std::size_t) { lookUp.Rebuild(config, members, self, kStart); });
  std::size_t sum = 0;
  double decide = MeanNanoseconds(5'000'000, [&](std::size_t aIndex) {
    sum +=
      lookUp.InstancesForClient(static_cast<std::uint32_t>(aIndex * 2654435761U)).size();
  });
  std::cout << fmt::format(
    "look-up decision {:.0f} ns, rebuild for 121 data centres {:.0f} us ({})\n",
    decide,
    rebuild / 1000,
    sum % 2);
}

void MeasureKeysAndDebits()
{
  ConfigPtr config = ParseConfig(ConfigText(6, 1000, 12));
  std::size_t found = 0;
  double key = MeanNanoseconds(200'000, [&](std::size_t aIndex) {
    found += config->FindKey(DigestKey(std::to_string(aIndex % 2000))).IsNone() ? 0 : 1;
  });
  ShareHolder holder({ "x:0", 1 }, "c000");
  holder.SetConfig(config, kStart);
  std::size_t granted = 0;
  double debit = MeanNanoseconds(2'000'000, [&](std::size_t aIndex) {
    BudgetId budget = config->mOrganisations[aIndex % 1000].mBudget;
    granted += holder.Debit(budget, kToken, kStart + Duration(aIndex)) ? 1 : 0;
  });
  std::cout << fmt::format(
    "key check {:.0f} ns, debit {:.0f} ns ({})\n", key, debit, (found + granted) % 2);
}

void MeasureShares()
{
  for (int centres : { 6, 30, 121 }) {
    for (int organisations : { 8, 100 }) {
      ConfigPtr config = ParseConfig(ConfigText(centres, organisations, centres));
      ShareDocument document;
      std::vector<ShareHolder> holders;
      for (int i = 0; i < centres; ++i) {
        holders.emplace_back(Incarnation{ fmt::format("127.0.0.1:{}", 10000 + i), 1 },
                             fmt::format("c{:03}", i));
        holders.back().SetConfig(config, kStart);
        holders.back().Observe({}, kStart);
      }
      Instant now = kStart + kNewHolderWait;
      double renew =
        MeanNanoseconds(static_cast<std::size_t>(centres) * 2, [&](std::size_t aIndex) {
          ShareHolder& holder = holders[aIndex % holders.size()];
          holder.CountDemand(config->mOrganisations[0].mBudget, kToken, now);
          now += 2s / centres;
          holder.Observe(ShareDocument::Parse(document.Text()), now);
          document = *holder.PlanWrite(now);
          holder.WriteCommitted(now);
        });
      std::cout << fmt::format(
        "shares of {} data centres, {} organisations: document {:.1f} kB, "
        "renewal {:.2f} ms\n",
        centres,
        organisations,
        double(document.Text().size()) / 1000,
        renew / 1e6);
    }
  }
}

void MeasureConfig()
{
  for (int sites : { 48, 1200, 4800 }) {
    std::string text = ConfigText(121, 100, sites);
    std::size_t servers = 0;
    double parse = MeanNanoseconds(
      3, [&](std::size_t) { servers += ParseConfig(text)->mBackendServers.size(); });
    std::cout << fmt::format(
      "configuration of {} sites: {:.0f} kB, parsed in {:.1f} ms ({})\n",
      sites,
      double(text.size()) / 1000,
      parse / 1e6,
      servers % 2);
  }
}

void MeasureHeartbeats()
{
  for (int centres : { 6, 121 }) {
    int instancesPerCentre = centres == 6 ? 2 : 26;
    Members members("c000:0", "c000");
    for (int centre = 0; centre < centres; ++centre) {
      for (int i = 0; i < instancesPerCentre; ++i) {
        members.AddAddress(fmt::format("c{:03}:{}", centre, i),
                           fmt::format("c{:03}", centre));
      }
    }
    std::size_t sum = 0;
    double neighbours = MeanNanoseconds(
      100, [&](std::size_t) { sum += members.HeartbeatTargets().size(); });
    std::cout << fmt::format("fleet of {}: {} neighbours, chosen in {:.0f} us\n",
                             centres * instancesPerCentre,
                             sum / 100,
                             neighbours / 1000);
  }
}

} // namespace

int main()
{
  MeasureBlocks();
  MeasureLookUp();
  MeasureKeysAndDebits();
  MeasureShares();
  MeasureConfig();
  MeasureHeartbeats();
}
