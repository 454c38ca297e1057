// Tokens of fleet-wide budgets: taken from this instance's share, from the holder of its
// data centre, or from holders of other data centres, which lend them in batches.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/core.h"

namespace vanillaloft::entry {

class Tokens
{
public:
  explicit Tokens(Core& aCore)
    : mCore(aCore)
  {
  }

  // Takes tokens for a request of this instance and counts them as demand. Waits for them
  // until aUntil; holders are asked at least once. Returns false if none were available.
  Awaitable<bool> Take(decide::BudgetId aBudget,
                       decide::MicroTokens aAmount,
                       Instant aUntil);

  // Gives tokens to a peer. A peer of this data centre may get tokens that were borrowed,
  // and waits for them; others get only tokens of the share held here.
  Awaitable<peer::wire::TokenReply> Give(peer::wire::TokenRequest aRequest);

  // True if another holder may have tokens of a budget: in the last round of questions
  // one did not answer, or one that was not asked has a spare rate by the share document.
  bool OthersMaySpare(decide::BudgetId aBudget) const;

private:
  // State of one budget.
  struct Want
  {
    decide::MicroTokens mWaiting = 0;    // of the requests that wait for tokens
    decide::MicroTokens mDemand = 0;     // not yet told to the holder of the data centre
    bool mAsking = false;                // a request asks holders, on behalf of all
    std::optional<bool> mOthersMaySpare; // by the last round, if there was one
    Instant mPausedUntil{};              // holders had no tokens and are not asked
  };
  // A holder that did not answer.
  struct Suspicion
  {
    Instant mUntil{};
    unsigned mFailures = 0; // in sequence
  };
  // Shared with the coroutines, which may be destroyed after this object at the end of
  // the process.
  using WantPtr = std::shared_ptr<Want>;
  // Counts an amount as waiting during its life.
  class WaitingGuard;
  class AskingGuard;

  // Returns a time not after the debit; empty if no tokens were available.
  Awaitable<std::optional<Instant>> TakeCounted(decide::BudgetId aBudget,
                                                decide::MicroTokens aAmount,
                                                Instant aUntil);
  // As ShareHolder::Debit, with the result of TakeCounted.
  std::optional<Instant> DebitNow(decide::BudgetId aBudget, decide::MicroTokens aAmount);
  // Asks holders for the tokens that are waited for, and adds what they give to the
  // tokens borrowed. Pauses further requests if they have none.
  Awaitable<void> Ask(decide::BudgetId aBudget,
                      decide::MicroTokens aAmount,
                      Instant aUntil);
  // Returns false if the holder did not answer.
  Awaitable<bool> AskMateHolder(std::string aHolder,
                                decide::BudgetId aBudget,
                                decide::MicroTokens aAmount,
                                Instant aUntil);
  // Asks until aUntil, and at least one holder. The last answer is awaited a little
  // longer, but not so long that an instance which this one asks for would give up.
  Awaitable<bool> AskOtherHolders(decide::BudgetId aBudget,
                                  decide::MicroTokens aAmount,
                                  Instant aUntil);
  // Address of the holder of this data centre; empty if this instance is the holder, or
  // if none is known that answers.
  std::string MateHolder() const;
  // Addresses of holders to ask. Those that did not answer lately are left out, but for
  // one if there are no others.
  std::vector<std::string> OtherHolders(decide::BudgetId aBudget);
  bool IsSuspect(const std::string& aHolder) const;
  void RecordFailure(const std::string& aHolder);
  bool WouldWaitTooLong(decide::BudgetId aBudget,
                        decide::MicroTokens aAmount,
                        Duration aWait) const;
  std::string KeyOf(decide::BudgetId aBudget) const;
  WantPtr WantOf(decide::BudgetId aBudget);

  Core& mCore;
  std::map<std::string, WantPtr> mWants;      // by budget key
  std::map<std::string, Suspicion> mSuspects; // by address of a holder
};

} // namespace vanillaloft::entry
