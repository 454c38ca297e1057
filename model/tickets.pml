/* Models one order ticket: its issuer, which may crash at any time and be replaced, a caller that
 * presents the ticket three times, and a backend server that may run a received request at any
 * later time, answer, lose the answer or answer "not run".
 *
 * Invariant: the order runs at most once, and a request answered with "not run" never ran.
 *
 * Broken variants: -DREMEMBER_AFTER_SEND, -DHONOUR_FORMER, -DRELEASE_ON_LOSS, -DNOT_RUN_ON_LOSS.
 */
#define PRESENTATIONS 3
#define CRASHES 2

mtype = { issued, running, done };
mtype = { ranAnswer, notRunAnswer, unknownAnswer };

mtype ledger = issued; /* state of the ticket at the incarnation that issued it */
bool issuerReplaced;   /* the incarnation that issued the ticket has crashed */
byte crashes;
byte presented;
byte runs;

/* Attempts sent to the backend server, and their outcomes. */
bool sent[PRESENTATIONS];
bool ran[PRESENTATIONS];
bool decided[PRESENTATIONS]; /* the server ran or rejected it */
mtype answer[PRESENTATIONS];
bool answered[PRESENTATIONS];

#define TRUE_NOT_RUN(k) (!(answered[k] && answer[k] == notRunAnswer && (ran[k] || (sent[k] && !decided[k]))))
#define SAFE (runs <= 1 && TRUE_NOT_RUN(0) && TRUE_NOT_RUN(1) && TRUE_NOT_RUN(2))

inline reply(k, a)
{
  answer[k] = a;
  answered[k] = true
}

/* One presentation of the ticket at the issuer's address. */
proctype Presentation(byte k)
{
  bool startedHere; /* this presentation started the order */
  byte crashesAtStart;
  atomic {
    crashesAtStart = crashes;
#ifdef HONOUR_FORMER
    if
    :: issuerReplaced && ledger != running -> issuerReplaced = false; ledger = issued
    :: else -> skip
    fi;
#endif
    if
    :: issuerReplaced -> reply(k, unknownAnswer)
    :: !issuerReplaced && ledger == running -> reply(k, unknownAnswer)
    :: !issuerReplaced && ledger == done -> reply(k, ranAnswer)
    :: !issuerReplaced && ledger == issued ->
         startedHere = true;
#ifndef REMEMBER_AFTER_SEND
         ledger = running;
#endif
    fi
  }
  if
  :: !startedHere -> goto end
  :: else -> skip
  fi;
  /* Sends the request, unless the issuer has crashed since the presentation. */
  atomic {
    if
    :: crashes != crashesAtStart -> reply(k, unknownAnswer); goto end
    :: else -> sent[k] = true
    fi
  }
#ifdef REMEMBER_AFTER_SEND
  atomic { crashes == crashesAtStart -> ledger = running }
#endif
  /* The answer arrives, the wait for it is abandoned, or the issuer crashes. */
  if
  :: atomic { decided[k] && crashes == crashesAtStart ->
       if
       :: ran[k] -> ledger = done; reply(k, ranAnswer)
       :: else -> ledger = issued; reply(k, notRunAnswer)
       fi }
  :: atomic { crashes == crashesAtStart ->
#ifdef RELEASE_ON_LOSS
       ledger = issued;
#else
       ledger = done;
#endif
#ifdef NOT_RUN_ON_LOSS
       reply(k, notRunAnswer)
#else
       reply(k, unknownAnswer)
#endif
     }
  :: atomic { crashes != crashesAtStart -> reply(k, unknownAnswer) }
  fi;
end:
  skip
}

proctype Server()
{
  byte k;
  do
  :: k < PRESENTATIONS && sent[k] && !decided[k] ->
       atomic {
         if
         :: ran[k] = true; runs++
         :: skip
         fi;
         decided[k] = true
       }
  :: k = (k + 1) % PRESENTATIONS
  od
}

/* A new incarnation has no record of the ticket in its ledger. */
proctype Crash()
{
  do
  :: atomic { crashes < CRASHES -> crashes++; issuerReplaced = true; ledger = done }
  :: crashes == CRASHES -> break
  od
}

init
{
  atomic {
    run Server();
    run Crash();
    do
    :: presented < PRESENTATIONS -> run Presentation(presented); presented++
    :: else -> break
    od
  }
}

ltl safe { [] SAFE }
