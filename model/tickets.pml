/* One order ticket: its issuer, which may crash at any moment and be replaced, a caller that
 * presents it three times, and a backend server that may run what reaches it at any later time,
 * answer, lose the answer or say that nothing ran.
 *
 * Always: the order runs at most once, and an answer "not run" is true of its request.
 *
 * Broken variants: -DREMEMBER_AFTER_SEND, -DHONOUR_FORMER, -DRELEASE_ON_LOSS, -DNOT_RUN_ON_LOSS.
 */
#define PRESENTATIONS 3
#define CRASHES 2

mtype = { issued, running, done };
mtype = { ranAnswer, notRunAnswer, unknownAnswer };

mtype ledger = issued; /* at the incarnation that issued the ticket */
bool former;           /* the incarnation that issued the ticket is gone */
byte crashes;
byte presented;
byte runs;

/* Attempts on their way to the backend server, and their fates. */
bool sent[PRESENTATIONS];
bool ran[PRESENTATIONS];
bool told[PRESENTATIONS];     /* the server has decided on it */
mtype answer[PRESENTATIONS];
bool answered[PRESENTATIONS];

#define TRUE_NOT_RUN(k) (!(answered[k] && answer[k] == notRunAnswer && (ran[k] || (sent[k] && !told[k]))))
#define SAFE (runs <= 1 && TRUE_NOT_RUN(0) && TRUE_NOT_RUN(1) && TRUE_NOT_RUN(2))

inline reply(k, a)
{
  answer[k] = a;
  answered[k] = true
}

/* One presentation of the ticket at the issuer's address. */
proctype Presentation(byte k)
{
  bool mine;      /* this presentation started the order */
  byte crashesAtStart;
  atomic {
    crashesAtStart = crashes;
#ifdef HONOUR_FORMER
    if
    :: former && ledger != running -> former = false; ledger = issued
    :: else -> skip
    fi;
#endif
    if
    :: former -> reply(k, unknownAnswer)
    :: !former && ledger == running -> reply(k, unknownAnswer)
    :: !former && ledger == done -> reply(k, ranAnswer)
    :: !former && ledger == issued ->
         mine = true;
#ifndef REMEMBER_AFTER_SEND
         ledger = running;
#endif
    fi
  }
  if
  :: !mine -> goto end
  :: else -> skip
  fi;
  /* A crash before the request is sent. */
  atomic {
    if
    :: crashes != crashesAtStart -> reply(k, unknownAnswer); goto end
    :: else -> sent[k] = true
    fi
  }
#ifdef REMEMBER_AFTER_SEND
  atomic { crashes == crashesAtStart -> ledger = running }
#endif
  /* The answer comes, or is given up. */
  if
  :: atomic { told[k] && crashes == crashesAtStart ->
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
  :: k < PRESENTATIONS && sent[k] && !told[k] ->
       atomic {
         if
         :: ran[k] = true; runs++
         :: skip
         fi;
         told[k] = true
       }
  :: k = (k + 1) % PRESENTATIONS
  od
}

/* A new incarnation knows nothing of the ticket; its ledger holds none of it. */
proctype Crash()
{
  do
  :: atomic { crashes < CRASHES -> crashes++; former = true; ledger = done }
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
