#include "entry/dump.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/log_writer.h"

namespace vanillaloft::entry {

using nlohmann::json;

constexpr std::size_t kMaxDumpedGroups = 20;

namespace {

// Null if there is no value, which is Duration::max().
json MillisecondsJson(Duration aTime)
{
  if (aTime == Duration::max()) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

json StatusJson(const decide::MemberStatus& aStatus)
{
  return { { "address", aStatus.mSelf.mAddress },
           { "data_centre", aStatus.mDataCentre },
           { "entry_address", aStatus.mEntryAddress },
           { "ready", aStatus.mReady },
           { "leaving", aStatus.mLeaving },
           { "revision", aStatus.mRevision },
           { "digest", aStatus.mDigest },
           { "confirmed_age_ms", MillisecondsJson(aStatus.mConfirmedAge) },
           { "free_slots", aStatus.mFreeSlots } };
}

json BackendServersJson(const Core& aCore)
{
  json servers = json::array();
  const auto& views = aCore.mSteer.Views();
  for (std::size_t i = 0; i < views.size(); ++i) {
    const decide::BackendServer& server = aCore.Config()->mBackendServers[i];
    if (server.mDataCentre == aCore.mSteer.OwnDataCentre()) {
      servers.push_back({ { "name", server.mName },
                          { "owned", views[i]->mOwned },
                          { "state", decide::Name(views[i]->mState) },
                          { "drained", server.mDrained },
                          { "slots", server.mSlots },
                          { "in_flight", views[i]->mInFlight } });
    }
  }
  return servers;
}

json BudgetsJson(const Core& aCore)
{
  json budgets = json::array();
  for (std::size_t i = 0; i < aCore.Config()->mBudgets.size(); ++i) {
    const decide::Budget& budget = aCore.Config()->mBudgets[i];
    decide::Rate held = aCore.mShares.CurrentShare(decide::BudgetId(i), aCore.Now());
    budgets.push_back(
      { { "name", decide::BudgetKey(budget) },
        { "total_per_s", double(budget.mTotal.mPerSecond) / decide::kToken },
        { "held_per_s", double(held.mPerSecond) / decide::kToken },
        { "held_burst", double(held.mBurst) / decide::kToken } });
  }
  return budgets;
}

// The groups of callers that were served worst, at most kMaxDumpedGroups.
json GroupsJson(const decide::ServedShares& aShares, Instant aNow)
{
  std::vector<std::pair<double, std::string>> groups;
  for (const auto& [name, group] : aShares.Groups()) {
    groups.emplace_back(aShares.ShareOf(name, aNow), name);
  }
  std::ranges::sort(groups);
  groups.resize(std::min(groups.size(), kMaxDumpedGroups));
  json rows = json::array();
  for (const auto& [share, name] : groups) {
    rows.push_back({ { "name", name }, { "served", share } });
  }
  return rows;
}

} // namespace

std::string DumpState(const Core& aCore)
{
  json state = StatusJson(aCore.Status());
  Instant now = aCore.Now();
  state["store_available"] = aCore.mStoreAvailable;
  state["registrations_age_ms"] = MillisecondsJson(aCore.RegistrationsAge());
  state["share_holder"] = aCore.mShares.IsHolder();
  state["pool_held"] = aCore.mShares.HoldsPool(now);
  state["floor_held"] = aCore.mShares.HoldsFloor(now);
  state["orders_remembered"] = aCore.mLedger.Size();
  state["requests_running"] = aCore.mHeld.All().size();
  state["requests_waiting"] = aCore.mRequestsWaiting;
  state["organisations_served_worst"] = GroupsJson(aCore.mGroups.Organisations(), now);
  state["data_centres_served_worst"] = GroupsJson(aCore.mGroups.DataCentres(), now);
  state["peers"] = json::array();
  for (const decide::Member* member : aCore.mMembers.AliveMembers(now)) {
    state["peers"].push_back(StatusJson(member->mStatus));
  }
  if (aCore.Config()) {
    state["budgets"] = BudgetsJson(aCore);
    state["backend_servers"] = BackendServersJson(aCore);
  }
  return state.dump(2) + "\n";
}

void RefreshGauges(Core& aCore)
{
  Instant now = aCore.Now();
  Metrics& metrics = aCore.mMetrics;
  metrics.Gauge("vanillaloft_peers_alive")
    .Set(double(aCore.mMembers.AliveMembers(now).size()));
  metrics.Gauge("vanillaloft_store_available").Set(aCore.mStoreAvailable ? 1 : 0);
  metrics.Gauge("vanillaloft_share_holder").Set(aCore.mShares.IsHolder() ? 1 : 0);
  metrics.Gauge("vanillaloft_pool_held").Set(aCore.mShares.HoldsPool(now) ? 1 : 0);
  metrics.Gauge("vanillaloft_orders_remembered").Set(double(aCore.mLedger.Size()));
  metrics.Gauge("vanillaloft_held_bytes").Set(double(aCore.mMemory.HeldBytes()));
  metrics.Gauge("vanillaloft_held_bytes_budget").Set(double(aCore.mMemory.Budget()));
  metrics.Gauge("vanillaloft_ended_for_memory").Set(double(aCore.mMemory.Ended()));
  metrics.Gauge("vanillaloft_ended_for_descriptors")
    .Set(double(aCore.mEndedForDescriptors));
  metrics.Gauge("vanillaloft_idle_connections").Set(double(aCore.mIdle.Size()));
  metrics.Gauge("vanillaloft_idle_connections_displaced")
    .Set(double(aCore.mIdle.Displaced()));
  metrics.Gauge("vanillaloft_requests_running").Set(double(aCore.mHeld.All().size()));
  metrics.Gauge("vanillaloft_requests_waiting").Set(double(aCore.mRequestsWaiting));
  metrics.Gauge("vanillaloft_log_lines_dropped").Set(double(base::DroppedLogLines()));
  Duration age = aCore.RegistrationsAge();
  metrics.Gauge("vanillaloft_registrations_age_seconds")
    .Set(age == Duration::max() ? -1 : std::chrono::duration<double>(age).count());
}

} // namespace vanillaloft::entry
