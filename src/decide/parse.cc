// Parses the operator configuration. Every field is validated. Unknown fields are errors,
// so a misspelt name is detected before the configuration is applied.
#include "decide/config.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/settings.h"

namespace vanillaloft::decide {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxTextBytes =
  1'000'000; // limit of a value in the platform's store
constexpr long kMaxRate = 10'000'000;
constexpr long kMaxMilliseconds = 600'000;
constexpr MicroTokens kKilobytesPerMegabit = 125;

// A JSON value and its path for error messages.
class Node
{
public:
  Node(const json& aValue, std::string aPath)
    : mValue(aValue)
    , mPath(std::move(aPath))
  {
  }

  [[noreturn]] void Fail(std::string_view aCause) const
  {
    throw ConfigError(fmt::format("{}: {}", mPath.empty() ? "/" : mPath, aCause));
  }

  // Rejects objects with fields that are not in the list.
  void RequireKnownFields(std::initializer_list<std::string_view> aNames) const
  {
    if (!mValue.is_object()) {
      Fail("must be an object");
    }
    for (const auto& [name, value] : mValue.items()) {
      if (std::ranges::find(aNames, std::string_view(name)) == aNames.end()) {
        Fail(fmt::format("has the unknown field '{}'", name));
      }
    }
  }

  bool Has(const char* aName) const { return mValue.contains(aName); }

  Node At(const char* aName) const
  {
    if (!Has(aName)) {
      Fail(fmt::format("lacks the field '{}'", aName));
    }
    return { mValue[aName], mPath + "/" + aName };
  }

  std::string Text() const
  {
    if (!mValue.is_string() || mValue.get_ref<const std::string&>().empty()) {
      Fail("must be a non-empty string");
    }
    return mValue.get<std::string>();
  }

  long Number(long aLow, long aHigh) const
  {
    bool isInteger = mValue.is_number_integer();
    if (!isInteger || mValue.get<double>() < double(aLow) ||
        mValue.get<double>() > double(aHigh)) {
      Fail(fmt::format("must be a whole number from {} to {}", aLow, aHigh));
    }
    return mValue.get<long>();
  }

  long Number(const char* aName, long aLow, long aHigh, long aDefault) const
  {
    return Has(aName) ? At(aName).Number(aLow, aHigh) : aDefault;
  }

  Duration Milliseconds(const char* aName, long aDefault) const
  {
    return std::chrono::milliseconds(Number(aName, 0, kMaxMilliseconds, aDefault));
  }

  // Calls aRead for each element of a list; a missing list counts as empty.
  void ForEach(const char* aName, const std::function<void(const Node&)>& aRead) const
  {
    if (!Has(aName)) {
      return;
    }
    Node list = At(aName);
    if (!list.mValue.is_array()) {
      list.Fail("must be a list");
    }
    for (std::size_t i = 0; i < list.mValue.size(); ++i) {
      aRead(Node(list.mValue[i], fmt::format("{}/{}", list.mPath, i)));
    }
  }

  // Resolves a name to an index with aFind; fails if there is no such entry.
  template<typename Find>
  auto Reference(const char* aName, Find aFind) const
  {
    Node node = At(aName);
    auto id = aFind(node.Text());
    if (id.IsNone()) {
      node.Fail(fmt::format("names '{}', which does not exist", node.Text()));
    }
    return id;
  }

private:
  const json& mValue;
  std::string mPath;
};

// Parses the sections so that each comes after those that it refers to.
class Parser
{
public:
  explicit Parser(const Node& aRoot)
    : mRoot(aRoot)
  {
  }

  std::shared_ptr<Config> Parse()
  {
    mRoot.RequireKnownFields({ "revision",
                               "operation",
                               "previous",
                               "regions",
                               "links",
                               "organisations",
                               "profiles",
                               "services",
                               "client_blocks",
                               "steering",
                               "runbooks",
                               "floor_percent" });
    mConfig->mRevision = static_cast<Revision>(
      mRoot.Number("revision", 0, std::numeric_limits<long>::max(), 0));
    mConfig->mFloorPercent =
      static_cast<unsigned>(mRoot.Number("floor_percent", 0, 100, 85));
    mRoot.ForEach("regions", [this](const Node& aNode) { ReadRegion(aNode); });
    if (mConfig->mDataCentres.empty()) {
      mRoot.Fail("must name at least one region with a data centre");
    }
    mRoot.ForEach("links", [this](const Node& aNode) { ReadLink(aNode); });
    mRoot.ForEach("organisations",
                  [this](const Node& aNode) { ReadOrganisation(aNode); });
    mRoot.ForEach("profiles", [this](const Node& aNode) { ReadProfile(aNode); });
    mRoot.ForEach("services", [this](const Node& aNode) { ReadService(aNode); });
    mRoot.ForEach("client_blocks", [this](const Node& aNode) { ReadBlock(aNode); });
    if (mRoot.Has("steering")) {
      ReadSteering(mRoot.At("steering"));
    }
    mRoot.ForEach("runbooks", [this](const Node& aNode) { ReadRunbook(aNode); });
    SortAndIndex();
    return mConfig;
  }

private:
  // Reads a name; rejects a second entry of the same name and kind.
  std::string UniqueName(const Node& aNode, const char* aKind)
  {
    Node node = aNode.At("name");
    std::string name = node.Text();
    constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    if (name.find_first_not_of(kAllowed) != std::string::npos) {
      node.Fail("may hold only lower-case letters, digits, '-', '_' and '.'");
    }
    if (!mNames.insert(fmt::format("{} {}", aKind, name)).second) {
      node.Fail(fmt::format("repeats the name '{}'", name));
    }
    return name;
  }

  DataCentreId DataCentreAt(const Node& aNode, const char* aField)
  {
    return aNode.Reference(aField, [this](const std::string& aName) {
      return mConfig->FindDataCentre(aName);
    });
  }

  ServiceId ServiceAt(const Node& aNode)
  {
    return aNode.Reference("service", [this](const std::string& aName) {
      return mConfig->FindService(aName);
    });
  }

  void ReadRegion(const Node& aNode)
  {
    aNode.RequireKnownFields({ "name", "data_centres", "spill_per_s", "spill_burst" });
    Region region;
    region.mName = UniqueName(aNode, "region");
    RegionId id(mConfig->mRegions.size());
    aNode.ForEach("data_centres", [&](const Node& aName) {
      if (!mNames.insert("data centre " + aName.Text()).second) {
        aName.Fail(fmt::format("repeats the name '{}'", aName.Text()));
      }
      region.mDataCentres.emplace_back(mConfig->mDataCentres.size());
      mConfig->mDataCentres.push_back({ aName.Text(), id, false });
    });
    Budget spill{ BudgetKind::Spill, region.mName, {} };
    spill.mTotal.mPerSecond = aNode.Number("spill_per_s", 0, kMaxRate, 1000) * kToken;
    spill.mTotal.mBurst = aNode.Number("spill_burst", 0, kMaxRate, 200) * kToken;
    mConfig->mBudgets.push_back(spill);
    mConfig->mRegions.push_back(std::move(region));
  }

  RegionId RegionAt(const Node& aNode, const char* aField)
  {
    return aNode.Reference(
      aField, [this](const std::string& aName) { return mConfig->FindRegion(aName); });
  }

  void ReadLink(const Node& aNode)
  {
    aNode.RequireKnownFields({ "from", "to", "mbit_per_s" });
    const Region& from = mConfig->mRegions[RegionAt(aNode, "from").Value()];
    const Region& to = mConfig->mRegions[RegionAt(aNode, "to").Value()];
    MicroTokens kilobytes =
      aNode.At("mbit_per_s").Number(1, 1'000'000) * kKilobytesPerMegabit * kToken;
    Budget link{ BudgetKind::Link, from.mName + ">" + to.mName, {} };
    link.mTotal = { kilobytes, kilobytes / 4 };
    mConfig->mBudgets.push_back(link);
  }

  void ReadOrganisation(const Node& aNode)
  {
    aNode.RequireKnownFields({ "name", "rate_per_s", "burst", "keys", "isolated_keys" });
    Organisation organisation;
    organisation.mName = UniqueName(aNode, "organisation");
    organisation.mBudget = BudgetId(mConfig->mBudgets.size());
    Budget budget{ BudgetKind::Organisation, organisation.mName, {} };
    budget.mTotal.mPerSecond = aNode.At("rate_per_s").Number(1, kMaxRate) * kToken;
    budget.mTotal.mBurst = aNode.At("burst").Number(1, kMaxRate) * kToken;
    mConfig->mBudgets.push_back(budget);
    if (aNode.Has("isolated_keys")) {
      std::string text = aNode.At("isolated_keys").Text();
      if (text != "accept" && text != "refuse") {
        aNode.At("isolated_keys").Fail("must be 'accept' or 'refuse'");
      }
      organisation.mIsolatedKeys =
        text == "accept" ? IsolatedKeys::Accept : IsolatedKeys::Refuse;
    }
    OrganisationId id(mConfig->mOrganisations.size());
    aNode.ForEach("keys", [&](const Node& aKey) { ReadKey(aKey, id); });
    mConfig->mOrganisations.push_back(std::move(organisation));
  }

  void ReadKey(const Node& aNode, OrganisationId aOrganisation)
  {
    aNode.RequireKnownFields({ "id", "sha256" });
    KeyEntry key;
    key.mId = aNode.At("id").Text();
    key.mOrganisation = aOrganisation;
    std::string digest = aNode.At("sha256").Text();
    bool ok = digest.size() == 2 * key.mDigest.size();
    for (std::size_t i = 0; ok && i < key.mDigest.size(); ++i) {
      const char* from = digest.data() + 2 * i;
      auto [end, error] = std::from_chars(from, from + 2, key.mDigest[i], 16);
      ok = error == std::errc() && end == from + 2;
    }
    if (!ok) {
      aNode.At("sha256").Fail("must be 64 hexadecimal digits");
    }
    mConfig->mKeys.push_back(std::move(key));
  }

  void ReadProfile(const Node& aNode)
  {
    aNode.RequireKnownFields({ "name",
                               "deadline_ms",
                               "queue_ms",
                               "retries",
                               "retry_percent",
                               "spill_percent",
                               "shift_cap_percent",
                               "ramp_ms",
                               "look_up_ttl_ms" });
    Profile profile;
    profile.mName = UniqueName(aNode, "profile");
    profile.mDeadline = aNode.Milliseconds("deadline_ms", 1000);
    profile.mQueueTime = aNode.Milliseconds("queue_ms", 100);
    profile.mRetries = static_cast<unsigned>(aNode.Number("retries", 0, 5, 1));
    profile.mRetryPercent =
      static_cast<unsigned>(aNode.Number("retry_percent", 0, 100, 10));
    profile.mSpillPercent =
      static_cast<unsigned>(aNode.Number("spill_percent", 0, 100, 50));
    profile.mShiftCapPercent =
      static_cast<unsigned>(aNode.Number("shift_cap_percent", 0, 100, 50));
    profile.mWarmUpTime = aNode.Milliseconds("ramp_ms", 10'000);
    profile.mLookUpTtl = aNode.Milliseconds("look_up_ttl_ms", 5'000);
    mConfig->mProfiles.push_back(std::move(profile));
  }

  void ReadService(const Node& aNode)
  {
    aNode.RequireKnownFields({ "name", "profile", "routes", "backend_servers" });
    Service service;
    service.mName = UniqueName(aNode, "service");
    service.mProfile = aNode.Reference("profile", [this](const std::string& aName) {
      auto found = std::ranges::find(mConfig->mProfiles, aName, &Profile::mName);
      return found == mConfig->mProfiles.end()
               ? ProfileId()
               : ProfileId(static_cast<std::size_t>(found - mConfig->mProfiles.begin()));
    });
    ServiceId id(mConfig->mServices.size());
    mConfig->mServices.push_back(service);
    aNode.ForEach("routes", [&](const Node& aRoute) { ReadRoute(aRoute, id); });
    aNode.ForEach("backend_servers",
                  [&](const Node& aServer) { ReadBackendServer(aServer, id); });
  }

  void ReadRoute(const Node& aNode, ServiceId aService)
  {
    aNode.RequireKnownFields({ "path", "kind" });
    Route route;
    route.mPath = aNode.At("path").Text();
    route.mService = aService;
    if (!route.mPath.starts_with('/') || route.mPath.starts_with("/v1/")) {
      aNode.At("path").Fail("must start with '/' and not with '/v1/'");
    }
    if (!mNames.insert("route " + route.mPath).second) {
      aNode.At("path").Fail("repeats the path of another route");
    }
    std::string kind = aNode.At("kind").Text();
    if (kind == "open") {
      route.mKind = RouteKind::Open;
    } else if (kind == "order") {
      route.mKind = RouteKind::Order;
    } else if (kind != "lookup") {
      aNode.At("kind").Fail("must be 'open', 'lookup' or 'order'");
    }
    mConfig->mRoutes.push_back(std::move(route));
  }

  void ReadBackendServer(const Node& aNode, ServiceId aService)
  {
    aNode.RequireKnownFields({ "name", "data_centre", "address", "slots" });
    BackendServer server;
    server.mName = UniqueName(aNode, "backend server");
    server.mService = aService;
    server.mDataCentre = DataCentreAt(aNode, "data_centre");
    server.mSlots = static_cast<unsigned>(aNode.At("slots").Number(1, 1000));
    try {
      base::HostPort address = base::ParseHostPort("address", aNode.At("address").Text());
      server.mHost = address.mHost;
      server.mPort = address.mPort;
    } catch (const base::SettingError& error) {
      aNode.Fail(error.what());
    }
    mConfig->mBackendServers.push_back(std::move(server));
  }

  void ReadBlock(const Node& aNode)
  {
    aNode.RequireKnownFields({ "block", "data_centre" });
    Node field = aNode.At("block");
    std::string text = field.Text();
    std::size_t slash = text.find('/');
    in_addr address{};
    unsigned bits = 33;
    if (slash != std::string::npos) {
      std::from_chars(text.data() + slash + 1, text.data() + text.size(), bits);
    }
    if (bits > 32 || inet_pton(AF_INET, text.substr(0, slash).c_str(), &address) != 1) {
      field.Fail("must be an IPv4 block such as 10.1.0.0/16");
    }
    std::uint32_t first = ntohl(address.s_addr);
    std::uint64_t size = std::uint64_t(1) << (32 - bits);
    if ((first & (size - 1)) != 0) {
      field.Fail("has bits set behind its prefix");
    }
    mBlocks.push_back(
      { first, static_cast<std::uint8_t>(bits), DataCentreAt(aNode, "data_centre") });
  }

  Shift ReadShift(const Node& aNode)
  {
    Shift shift;
    shift.mService = ServiceAt(aNode);
    shift.mFrom = DataCentreAt(aNode, "from");
    shift.mTo = DataCentreAt(aNode, "to");
    shift.mPercent = static_cast<unsigned>(aNode.At("percent").Number(0, 100));
    if (shift.mFrom == shift.mTo) {
      aNode.At("to").Fail("must differ from 'from'");
    }
    unsigned cap = mConfig->ProfileOf(shift.mService).mShiftCapPercent;
    if (shift.mPercent > cap) {
      aNode.At("percent").Fail(
        fmt::format("exceeds shift_cap_percent {} of the service's profile", cap));
    }
    return shift;
  }

  // Marks a backend server or a data centre as drained.
  void MarkDrained(const Node& aName)
  {
    DataCentreId dataCentre = mConfig->FindDataCentre(aName.Text());
    if (!dataCentre.IsNone()) {
      mConfig->mDataCentres[dataCentre.Value()].mDrained = true;
      return;
    }
    BackendServerOf(aName).mDrained = true;
  }

  BackendServer& BackendServerOf(const Node& aName)
  {
    auto found =
      std::ranges::find(mConfig->mBackendServers, aName.Text(), &BackendServer::mName);
    if (found == mConfig->mBackendServers.end()) {
      aName.Fail(fmt::format("names '{}', which does not exist", aName.Text()));
    }
    return *found;
  }

  void ReadSteering(const Node& aNode)
  {
    aNode.RequireKnownFields({ "drained", "shifts" });
    aNode.ForEach("drained", [this](const Node& aName) { MarkDrained(aName); });
    aNode.ForEach("shifts", [this](const Node& aShift) {
      aShift.RequireKnownFields({ "service", "from", "to", "percent" });
      Shift shift = ReadShift(aShift);
      bool second = std::ranges::any_of(mConfig->mShifts, [&](const Shift& aOther) {
        return aOther.mService == shift.mService && aOther.mFrom == shift.mFrom;
      });
      if (second) {
        aShift.Fail("is a second shift of the same service from the same data centre");
      }
      mConfig->mShifts.push_back(shift);
    });
  }

  void ReadRunbook(const Node& aNode)
  {
    aNode.RequireKnownFields({ "name", "steps" });
    Runbook runbook{ UniqueName(aNode, "runbook"), {} };
    aNode.ForEach("steps",
                  [&](const Node& aStep) { runbook.mSteps.push_back(ReadStep(aStep)); });
    mConfig->mRunbooks.push_back(std::move(runbook));
  }

  RunbookStep ReadStep(const Node& aNode)
  {
    aNode.RequireKnownFields(
      { "do", "target", "service", "from", "to", "percent", "seconds" });
    RunbookStep step;
    std::string action = aNode.At("do").Text();
    if (action == "drain" || action == "undrain") {
      step.mAction = action == "drain" ? Action::Drain : Action::Undrain;
      step.mTarget = aNode.At("target").Text();
      if (mConfig->FindDataCentre(step.mTarget).IsNone()) {
        BackendServerOf(aNode.At("target"));
      }
    } else if (action == "shift") {
      step.mAction = Action::Shift;
      step.mShift = ReadShift(aNode);
    } else if (action == "wait") {
      step.mAction = Action::Wait;
      step.mWait = std::chrono::seconds(aNode.At("seconds").Number(0, 86'400));
    } else if (action == "pause") {
      step.mAction = Action::Pause;
    } else if (action == "check") {
      step.mAction = Action::Check;
    } else {
      aNode.At("do").Fail("must be drain, undrain, shift, pause, wait or check");
    }
    return step;
  }

  // Sorts keys and routes and builds the client blocks for lookups.
  void SortAndIndex()
  {
    std::ranges::sort(mConfig->mKeys, {}, &KeyEntry::mDigest);
    auto duplicate = std::ranges::adjacent_find(mConfig->mKeys, {}, &KeyEntry::mDigest);
    if (duplicate != mConfig->mKeys.end()) {
      mRoot.Fail(fmt::format("contains the key '{}' twice", duplicate->mId));
    }
    std::ranges::stable_sort(mConfig->mRoutes,
                             std::ranges::greater(),
                             [](const Route& aRoute) { return aRoute.mPath.size(); });
    mConfig->mClientBlocks = ClientBlocks(std::move(mBlocks));
  }

  Node mRoot;
  std::shared_ptr<Config> mConfig = std::make_shared<Config>();
  std::set<std::string> mNames;
  std::vector<ClientBlock> mBlocks;
};

} // namespace

ConfigPtr ParseConfig(std::string_view aText)
{
  if (aText.size() > kMaxTextBytes) {
    throw ConfigError(fmt::format("/: has {} bytes; at most {} fit the platform's store",
                                  aText.size(),
                                  kMaxTextBytes));
  }
  json value;
  try {
    value = json::parse(aText);
  } catch (const json::exception& error) {
    throw ConfigError(fmt::format("/: is not JSON: {}", error.what()));
  }
  std::shared_ptr<Config> config = Parser(Node(value, "")).Parse();
  config->mText = std::string(aText);
  config->mDigest = DigestText(aText);
  return config;
}

} // namespace vanillaloft::decide
