#include "entry/tokens.h"

#include <algorithm>
#include <utility>

namespace vanillaloft::entry {

namespace {

using decide::MicroTokens;
using std::chrono::milliseconds;

constexpr std::size_t kMaxHoldersAsked = 4; // of other data centres, in one round
// Time without requests to holders after none had tokens.
constexpr Duration kPause = milliseconds(40);
// Time for which a holder that did not answer is passed over: at first, doubled with each
// failure that follows, and at most. One lost answer is more often a delay of this
// instance than the end of a holder.
constexpr Duration kMinSuspectTime = milliseconds(40);
constexpr Duration kMaxSuspectTime = milliseconds(640);
constexpr unsigned kMaxFailures = 4; // that lengthen it
constexpr Duration kMinTokenWait = milliseconds(2);
constexpr Duration kMaxTokenWait = milliseconds(20);
constexpr Duration kMaxMateWait = milliseconds(200);
// Time for the request and the reply, beyond the wait that they agreed on.
constexpr milliseconds kTokenRequestTimeout{ 100 };
// Within this time after a mate's wait its holder gives up its own question, so that the
// mate hears an answer.
constexpr Duration kLastAnswerTime = milliseconds(70);
constexpr milliseconds kMinAnswerTime{ 40 };
// Demand for which tokens are borrowed ahead.
constexpr Duration kBorrowAhead = milliseconds(100);
// Largest number of micro-tokens in one request; far above what any request needs.
constexpr std::uint64_t kMaxTokenRequest = 1ULL << 50;

MicroTokens Bounded(std::uint64_t aAmount)
{
  return static_cast<MicroTokens>(std::min(aAmount, kMaxTokenRequest));
}

std::uint64_t ToWire(MicroTokens aAmount)
{
  return static_cast<std::uint64_t>(std::max(aAmount, MicroTokens(0)));
}

milliseconds ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(std::max(aTime, Duration::zero()));
}

// Time for one question to another holder on behalf of requests that wait until aUntil.
milliseconds AnswerTimeout(Instant aNow, Instant aUntil)
{
  return std::clamp(ToMilliseconds(aUntil + kLastAnswerTime - aNow),
                    kMinAnswerTime,
                    kTokenRequestTimeout);
}

} // namespace

class Tokens::WaitingGuard
{
public:
  WaitingGuard(WantPtr aWant, MicroTokens aAmount)
    : mWant(std::move(aWant))
    , mAmount(aAmount)
  {
    mWant->mWaiting += mAmount;
  }
  ~WaitingGuard() { mWant->mWaiting -= mAmount; }
  WaitingGuard(const WaitingGuard&) = delete;
  WaitingGuard& operator=(const WaitingGuard&) = delete;

private:
  WantPtr mWant;
  MicroTokens mAmount;
};

class Tokens::AskingGuard
{
public:
  explicit AskingGuard(WantPtr aWant)
    : mWant(std::move(aWant))
  {
    mWant->mAsking = true;
  }
  ~AskingGuard() { mWant->mAsking = false; }
  AskingGuard(const AskingGuard&) = delete;
  AskingGuard& operator=(const AskingGuard&) = delete;

private:
  WantPtr mWant;
};

std::string Tokens::KeyOf(decide::BudgetId aBudget) const
{
  return decide::BudgetKey(mCore.Config()->mBudgets[aBudget.Value()]);
}

Tokens::WantPtr Tokens::WantOf(decide::BudgetId aBudget)
{
  WantPtr& want = mWants[KeyOf(aBudget)];
  if (!want) {
    want = std::make_shared<Want>();
  }
  return want;
}

// Heartbeats do not tell whether a holder of another data centre lives: few instances get
// them from there, so most of the known ones seem to have timed out.
bool Tokens::IsSuspect(const std::string& aHolder) const
{
  auto found = mSuspects.find(aHolder);
  return found != mSuspects.end() && mCore.Now() < found->second.mUntil;
}

void Tokens::RecordFailure(const std::string& aHolder)
{
  Suspicion& suspicion = mSuspects[aHolder];
  Duration time = kMinSuspectTime * (1U << suspicion.mFailures);
  suspicion.mUntil = mCore.Now() + std::min(time, kMaxSuspectTime);
  suspicion.mFailures = std::min(suspicion.mFailures + 1, kMaxFailures);
}

// Heartbeats tell of a new holder sooner than the share document, which an instance that
// holds nothing reads seldom.
std::string Tokens::MateHolder() const
{
  if (mCore.mShares.IsHolder()) {
    return "";
  }
  for (const decide::Member* member : mCore.mMembers.AliveMembers(mCore.Now())) {
    const decide::MemberStatus& status = member->mStatus;
    bool holds = status.mHoldsShares && status.mDataCentre == mCore.mSettings.mDataCentre;
    if (holds && !IsSuspect(status.mSelf.mAddress)) {
      return status.mSelf.mAddress;
    }
  }
  return "";
}

std::vector<std::string> Tokens::OtherHolders(decide::BudgetId aBudget)
{
  std::vector<std::string> holders = mCore.mShares.TokenSources(aBudget);
  auto isSuspect = [this](const std::string& aHolder) { return IsSuspect(aHolder); };
  if (std::ranges::all_of(holders, isSuspect)) {
    mCore.mMembers.AddShareHolders(holders, mCore.Now());
  }
  if (holders.empty()) {
    return holders;
  }
  std::string first = holders.front();
  std::erase_if(holders, isSuspect);
  if (holders.empty()) {
    holders.push_back(first);
  }
  holders.resize(std::min(holders.size(), kMaxHoldersAsked));
  return holders;
}

// More than the whole budget refills in the time cannot come, wherever it is held.
bool Tokens::WouldWaitTooLong(decide::BudgetId aBudget,
                              MicroTokens aAmount,
                              Duration aWait) const
{
  const decide::Rate& total = mCore.Config()->mBudgets[aBudget.Value()].mTotal;
  double refilled = double(total.mPerSecond) *
                    std::chrono::duration<double>(aWait + kTokenRequestTimeout).count();
  auto want = mWants.find(KeyOf(aBudget));
  MicroTokens waiting = want == mWants.end() ? 0 : want->second->mWaiting;
  return waiting > 0 && double(waiting + aAmount) > refilled;
}

// The lease counts from before the request was sent. The holder's wait, by its own clock,
// comes before the debit; it is shortened by the drift of the clocks.
Awaitable<bool> Tokens::AskMateHolder(std::string aHolder,
                                      decide::BudgetId aBudget,
                                      MicroTokens aAmount,
                                      Instant aUntil)
{
  decide::ConfigPtr config = mCore.Config();
  const decide::Budget& budget = config->mBudgets[aBudget.Value()];
  WantPtr want = WantOf(aBudget);
  Instant askedAt = mCore.Now();
  milliseconds wait = ToMilliseconds(std::min(aUntil - askedAt, kMaxMateWait));
  peer::wire::TokenRequest request;
  request.set_budget(decide::BudgetKey(budget));
  request.set_micro_tokens(ToWire(aAmount));
  request.set_extra_micro_tokens(ToWire(want->mWaiting - aAmount));
  request.set_demand_micro_tokens(ToWire(want->mDemand));
  request.set_data_centre(mCore.mSettings.mDataCentre);
  request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
  MicroTokens told = std::exchange(want->mDemand, 0);
  try {
    auto reply =
      co_await mCore.mPeers.AskToken(aHolder, request, wait + kTokenRequestTimeout);
    mSuspects.erase(aHolder);
    want->mOthersMaySpare = reply.others_may_spare();
    if (!reply.given()) {
      want->mPausedUntil = mCore.Now() + kPause;
    } else if (config == mCore.Config()) {
      auto waitedUs = std::min<std::uint64_t>(
        reply.waited_us(), std::uint64_t(std::chrono::microseconds(wait).count()));
      Duration waited = decide::HolderLease(std::chrono::microseconds(waitedUs));
      Duration lease =
        decide::HolderLease(decide::RelayLease(decide::UsableBudgetOf(budget.mTotal)));
      MicroTokens extra =
        std::min(Bounded(reply.extra_micro_tokens()),
                 static_cast<MicroTokens>(request.extra_micro_tokens()));
      mCore.mShares.AddLoan(
        aBudget, aAmount + extra, askedAt + waited + lease, mCore.Now());
    }
    co_return true;
  } catch (const peer::PeerError&) {
    want->mDemand += told;
    RecordFailure(aHolder);
    co_return false;
  }
}

Awaitable<bool> Tokens::AskOtherHolders(decide::BudgetId aBudget,
                                        MicroTokens aAmount,
                                        Instant aUntil)
{
  decide::ConfigPtr config = mCore.Config();
  const decide::Budget& budget = config->mBudgets[aBudget.Value()];
  WantPtr want = WantOf(aBudget);
  Duration lease =
    decide::HolderLease(decide::LoanLease(decide::UsableBudgetOf(budget.mTotal)));
  MicroTokens ahead =
    mCore.mShares.Shortfall(aBudget, std::min(lease / 2, kBorrowAhead), mCore.Now());
  peer::wire::TokenRequest request;
  request.set_budget(decide::BudgetKey(budget));
  request.set_micro_tokens(ToWire(aAmount));
  request.set_extra_micro_tokens(ToWire(want->mWaiting - aAmount + ahead));
  request.set_data_centre(mCore.mSettings.mDataCentre);
  std::vector<std::string> refusedBy;
  bool answered = true;
  for (const std::string& holder : OtherHolders(aBudget)) {
    Instant askedAt = mCore.Now();
    if (!refusedBy.empty() && askedAt >= aUntil) {
      break;
    }
    milliseconds timeout = AnswerTimeout(askedAt, aUntil);
    try {
      auto reply = co_await mCore.mPeers.AskToken(holder, request, timeout);
      mSuspects.erase(holder);
      if (config != mCore.Config()) {
        co_return false; // the index may refer to another budget now
      }
      if (reply.given()) {
        MicroTokens extra =
          std::min(Bounded(reply.extra_micro_tokens()),
                   static_cast<MicroTokens>(request.extra_micro_tokens()));
        mCore.mShares.AddLoan(aBudget, aAmount + extra, askedAt + lease, mCore.Now());
        want->mOthersMaySpare = false;
        co_return true;
      }
      refusedBy.push_back(holder);
    } catch (const peer::PeerError& error) {
      answered = false;
      if (timeout == kTokenRequestTimeout || !error.MayHaveArrived()) {
        RecordFailure(holder);
      }
    }
  }
  if (config == mCore.Config()) {
    bool unheard = refusedBy.empty() && !mCore.mShares.IsHolder();
    want->mOthersMaySpare =
      !answered || unheard || mCore.mShares.OthersMaySpare(aBudget, refusedBy);
  }
  co_return false;
}

Awaitable<void> Tokens::Ask(decide::BudgetId aBudget, MicroTokens aAmount, Instant aUntil)
{
  decide::ConfigPtr config = mCore.Config();
  WantPtr want = WantOf(aBudget);
  AskingGuard guard(want);
  std::string mate = MateHolder();
  if (!mate.empty()) {
    bool answered = co_await AskMateHolder(mate, aBudget, aAmount, aUntil);
    if (answered || config != mCore.Config()) {
      co_return;
    }
  }
  bool given = co_await AskOtherHolders(aBudget, aAmount, aUntil);
  if (!given) {
    want->mPausedUntil = mCore.Now() + kPause;
  }
}

// A request whose time ends before another one's question is answered asks for itself, so
// that each waits for at least one answer.
Awaitable<std::optional<Instant>> Tokens::TakeCounted(decide::BudgetId aBudget,
                                                      MicroTokens aAmount,
                                                      Instant aUntil)
{
  decide::ConfigPtr config = mCore.Config();
  if (auto debited = DebitNow(aBudget, aAmount)) {
    co_return debited;
  }
  WantPtr want = WantOf(aBudget);
  WaitingGuard guard(want, aAmount);
  bool asked = false;
  for (;;) {
    Duration wait = mCore.mShares.TimeUntil(aBudget, aAmount, mCore.Now());
    wait = std::clamp(wait, kMinTokenWait, kMaxTokenWait);
    Instant until = mCore.mStop.Limit(decide::StopWait::Start, aUntil);
    bool lastChance = mCore.Now() + wait > until;
    bool paused = mCore.Now() < want->mPausedUntil;
    if (!paused && (!want->mAsking || (lastChance && !asked))) {
      asked = true;
      co_await Ask(aBudget, aAmount, until);
    } else if (lastChance) {
      co_return std::nullopt;
    } else {
      co_await mCore.Sleep(wait);
    }
    if (config != mCore.Config()) {
      co_return std::nullopt; // the index may refer to another budget now
    }
    if (auto debited = DebitNow(aBudget, aAmount)) {
      co_return debited;
    }
  }
}

Awaitable<bool> Tokens::Take(decide::BudgetId aBudget,
                             MicroTokens aAmount,
                             Instant aUntil)
{
  mCore.mShares.CountDemand(aBudget, aAmount, mCore.Now());
  if (!mCore.mShares.IsHolder()) {
    WantOf(aBudget)->mDemand += aAmount;
  }
  auto debited = co_await TakeCounted(aBudget, aAmount, aUntil);
  co_return debited.has_value();
}

Awaitable<peer::wire::TokenReply> Tokens::Give(peer::wire::TokenRequest aRequest)
{
  peer::wire::TokenReply reply;
  decide::ConfigPtr config = mCore.Config();
  if (!config || aRequest.micro_tokens() > kMaxTokenRequest) {
    co_return reply;
  }
  auto found = std::ranges::find(config->mBudgets, aRequest.budget(), &decide::BudgetKey);
  if (found == config->mBudgets.end()) {
    co_return reply;
  }
  decide::BudgetId budget(static_cast<std::size_t>(found - config->mBudgets.begin()));
  MicroTokens amount = Bounded(aRequest.micro_tokens());
  MicroTokens extra = Bounded(aRequest.extra_micro_tokens());
  if (aRequest.data_centre() != mCore.mSettings.mDataCentre) {
    MicroTokens lent = mCore.mShares.Lend(budget, amount, amount + extra, mCore.Now());
    reply.set_given(lent > 0);
    reply.set_extra_micro_tokens(ToWire(lent - amount));
    co_return reply;
  }
  Instant arrived = mCore.Now();
  mCore.mShares.CountDemand(budget, Bounded(aRequest.demand_micro_tokens()), mCore.Now());
  Duration wait = std::min<Duration>(milliseconds(aRequest.wait_ms()), kMaxMateWait);
  std::optional<Instant> debited = DebitNow(budget, amount);
  bool mayWait = mCore.mShares.IsHolder() && !WouldWaitTooLong(budget, amount, wait);
  if (!debited && mayWait) {
    debited = co_await TakeCounted(budget, amount, arrived + wait);
  }
  if (config != mCore.Config()) {
    co_return reply; // what was debited is lost
  }
  if (!debited) {
    reply.set_others_may_spare(OthersMaySpare(budget));
    co_return reply;
  }
  reply.set_given(true);
  reply.set_waited_us(static_cast<std::uint64_t>((*debited - arrived).count()));
  reply.set_extra_micro_tokens(ToWire(mCore.mShares.Lend(budget, 0, extra, *debited)));
  co_return reply;
}

std::optional<Instant> Tokens::DebitNow(decide::BudgetId aBudget, MicroTokens aAmount)
{
  Instant now = mCore.Now();
  if (mCore.mShares.Debit(aBudget, aAmount, now)) {
    return now;
  }
  return std::nullopt;
}

bool Tokens::OthersMaySpare(decide::BudgetId aBudget) const
{
  auto want = mWants.find(KeyOf(aBudget));
  if (want != mWants.end() && want->second->mOthersMaySpare) {
    return *want->second->mOthersMaySpare;
  }
  return !mCore.mShares.IsHolder() || mCore.mShares.OthersMaySpare(aBudget, {});
}

} // namespace vanillaloft::entry
