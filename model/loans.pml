/* Models tokens that a holder of shares lends in batches: the lender, a borrower that is the
 * holder of another data centre, and an instance of that data centre which the borrower gives
 * tokens to. Requests and replies take any time and may be lost; each process may stand still for
 * any time. Time passes in ticks, in each of which a token refills.
 *
 * A loan lapses LOAN ticks after the borrower asked. What the borrower passes on lapses RELAY ticks
 * after the instance asked, not counting the ticks that the borrower let it wait.
 *
 * Invariant: a bucket of TOTAL tokens that refills at the same rate has a token for each use.
 *
 * Broken variants: -DNO_RESERVE, -DTERM_FROM_REPLY, -DRELAY_FROM_REPLY, -DNO_LAPSE_CHECK.
 */
#define LOAN 2
#define RELAY 1
#define TOTAL 7
#ifdef NO_RESERVE
#define USABLE TOTAL
#else
#define USABLE (TOTAL - LOAN - RELAY)
#endif
#define BATCH 4
#define CAP 6
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define LEFT(lease, age) ((age) < (lease) -> (lease) - (age) : 0)

byte level = USABLE; /* of the lender's bucket */
byte ideal = TOTAL;  /* of the bucket that checks the uses */
bool exceeded;

bool asked;          /* the borrower waits for a reply of the lender */
byte askAge;         /* ticks since it asked */
byte inReply;        /* tokens in the reply */
byte loan;           /* tokens that the borrower holds */
byte loanLeft;       /* ticks until they lapse */

bool mateAsked;      /* the instance waits for a reply of the borrower */
byte mateAge;        /* ticks since it asked */
byte mateWaited;     /* ticks that the borrower let it wait */
byte inMateReply;    /* tokens in that reply */
byte mateTokens;     /* that the instance holds */
byte mateLeft;

inline use()
{
  if
  :: ideal > 0 -> ideal--
  :: else -> exceeded = true
  fi
}

#ifdef NO_LAPSE_CHECK
#define VALID(left) true
#else
#define VALID(left) (left > 0)
#endif

proctype Lender()
{
  byte batch;
  do
  :: atomic { level > 0 -> level--; use() }
  :: atomic { asked && inReply == 0 && level > 0 ->
       if
       :: batch = 1
       :: batch = MIN(BATCH, level)
       fi;
       level = level - batch;
       inReply = batch;
       batch = 0 }
  od
}

proctype Borrower()
{
  do
  :: atomic { !asked && loan == 0 -> asked = true; askAge = 0 }
  :: atomic { asked && inReply > 0 ->
       loan = inReply;
#ifdef TERM_FROM_REPLY
       loanLeft = LOAN;
#else
       loanLeft = LEFT(LOAN, askAge);
#endif
       inReply = 0;
       askAge = 0;
       asked = false }
  /* The reply is lost, or comes after the borrower gave up. */
  :: atomic { asked -> asked = false; askAge = 0; inReply = 0 }
  :: atomic { loan > 0 && VALID(loanLeft) -> loan--; use() }
  :: atomic { loan > 0 && loanLeft == 0 -> loan = 0 }
  :: atomic { mateAsked && inMateReply == 0 && loan > 0 && VALID(loanLeft) ->
       if
       :: inMateReply = 1
       :: inMateReply = loan
       fi;
       loan = loan - inMateReply;
       mateWaited = mateAge }
  od
}

proctype Mate()
{
  do
  :: atomic { !mateAsked && mateTokens == 0 -> mateAsked = true; mateAge = 0 }
  :: atomic { mateAsked && inMateReply > 0 ->
       mateTokens = inMateReply;
#ifdef RELAY_FROM_REPLY
       mateLeft = RELAY;
#else
       mateLeft = LEFT(RELAY, mateAge - mateWaited);
#endif
       inMateReply = 0;
       mateAsked = false;
       mateAge = 0;
       mateWaited = 0 }
  :: atomic { mateAsked -> mateAsked = false; inMateReply = 0; mateAge = 0; mateWaited = 0 }
  :: atomic { mateTokens > 0 && VALID(mateLeft) -> mateTokens--; use() }
  :: atomic { mateTokens > 0 && mateLeft == 0 -> mateTokens = 0 }
  od
}

proctype Time()
{
  do
  :: atomic {
       level = MIN(level + 1, USABLE);
       ideal = MIN(ideal + 1, TOTAL);
       askAge = (asked -> MIN(askAge + 1, CAP) : 0);
       mateWaited = (mateAge == CAP && mateWaited > 0 -> mateWaited - 1 : mateWaited);
       mateAge = (mateAsked -> MIN(mateAge + 1, CAP) : 0);
       loanLeft = LEFT(loanLeft, 1);
       mateLeft = LEFT(mateLeft, 1) }
  od
}

init
{
  atomic { run Lender(); run Borrower(); run Mate(); run Time() }
}

active proctype Monitor()
{
  atomic { exceeded -> assert(false) }
}
