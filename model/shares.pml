/* Shares of one budget between two holders, recorded in a store with compare-and-swap.
 *
 * Each holder reads the document, plans, sends a write and may or may not get the reply; a write
 * may take effect late. Time passes in ticks for everybody, also for a holder that does nothing
 * (a paused one). A holder uses its share for HOLD ticks counted from before the write was sent;
 * the other reclaims it RECLAIM ticks after it saw the write unchanged.
 *
 * Always: the shares in use add up to at most TOTAL.
 *
 * Broken variants: -DEARLY_RECLAIM, -DTERM_FROM_REPLY, -DGIVE_AFTER_WRITE, -DUSE_UNCONFIRMED,
 * -DNO_TERM_CHECK.
 */
#define TOTAL 2
#define MAX_WRITES 2
#define HOLD 2
#ifdef EARLY_RECLAIM
#define RECLAIM 1
#else
#define RECLAIM 2
#endif
#define CAP 2
#define MIN(a, b) ((a) < (b) -> (a) : (b))

byte version;      /* of the document */
byte alloc[2];     /* in the document */
byte seq[2];       /* of each record */

byte used[2];      /* what each holder spends from */
byte lease[2];     /* ticks that the holder may still use it */
byte since[2];     /* ticks since the holder saw the other's record change */
byte sawSeq[2];    /* the other's sequence as last seen */
byte sawAlloc[2];  /* the other's part as last seen */
byte ownAlloc[2];  /* the own part as last seen */
byte sawVersion[2];
bool fresh[2];     /* read since the last write */

bool flying[2];    /* a write that has not taken effect */
bool waiting[2];   /* the reply has not come and has not been given up */
byte wVersion[2];
byte wOwn[2];
byte wOther[2];
byte wSeq[2];
byte wAge[2];      /* ticks since it was sent */
byte writes[2];
byte unread[2];    /* sequence of a write without reply; 0 if none */
byte uAge[2];      /* ticks since that write was sent */
bool applied[2];   /* the write that is waited for took effect */

#ifdef NO_TERM_CHECK
#define IN_USE(i) used[i]
#else
#define IN_USE(i) (lease[i] > 0 -> used[i] : 0)
#endif

#define SAFE (IN_USE(0) + IN_USE(1) <= TOTAL)

inline adopt(i, part, age)
{
  used[i] = part;
#ifdef TERM_FROM_REPLY
  lease[i] = HOLD;
#else
  lease[i] = (age < HOLD -> HOLD - age : 0);
#endif
}

proctype Holder(byte i)
{
  byte o = 1 - i;
  byte want;
  byte other;
  do
  /* Reads the document. */
  :: atomic { !waiting[i] && !fresh[i] ->
       sawVersion[i] = version;
       if
       :: seq[o] != sawSeq[i] -> sawSeq[i] = seq[o]; since[i] = 0
       :: else -> skip
       fi;
       sawAlloc[i] = alloc[o];
       ownAlloc[i] = alloc[i];
       if
       :: unread[i] != 0 && seq[i] == unread[i] -> adopt(i, alloc[i], uAge[i]); unread[i] = 0
       :: else -> used[i] = MIN(used[i], alloc[i])
       fi;
       fresh[i] = true }
  /* Plans and sends a write; what is given up is not used from here on. */
  :: atomic { fresh[i] && !waiting[i] && !flying[i] && writes[i] < MAX_WRITES ->
       fresh[i] = false;
       other = (since[i] >= RECLAIM -> 0 : sawAlloc[i]);
       if
       :: want = 0
       :: want = 1
       :: want = TOTAL
       fi;
       want = MIN(want, TOTAL - other);
       wVersion[i] = sawVersion[i];
       wOwn[i] = want;
       wOther[i] = other;
       other = 0;
       writes[i]++;
       wSeq[i] = writes[i];
       wAge[i] = 0;
       flying[i] = true;
       waiting[i] = true;
       applied[i] = false;
#ifndef GIVE_AFTER_WRITE
       used[i] = MIN(used[i], want);
#endif
#ifdef USE_UNCONFIRMED
       used[i] = want;
       lease[i] = HOLD;
#endif
       want = 0
     }
  /* The reply comes. */
  :: atomic { waiting[i] && !flying[i] ->
       waiting[i] = false;
       if
       :: applied[i] -> adopt(i, wOwn[i], wAge[i]); unread[i] = 0
       :: else -> skip
       fi }
  /* The reply is lost, or given up before the write takes effect. */
  :: atomic { waiting[i] -> waiting[i] = false; unread[i] = wSeq[i]; uAge[i] = wAge[i] }
  od
}

inline takeEffect(i, o)
{
  flying[i] = false;
  if
  :: wVersion[i] == version ->
       version++;
       alloc[i] = wOwn[i];
       seq[i] = wSeq[i];
       alloc[o] = wOther[i];
       applied[i] = true
  :: else -> applied[i] = false
  fi;
  wVersion[i] = 0;
  wOther[i] = 0
}

proctype Store()
{
  do
  :: atomic { flying[0] -> takeEffect(0, 1) }
  :: atomic { flying[1] -> takeEffect(1, 0) }
  od
}

proctype Time()
{
  do
  :: atomic {
       lease[0] = (lease[0] > 0 -> lease[0] - 1 : 0);
       lease[1] = (lease[1] > 0 -> lease[1] - 1 : 0);
       since[0] = MIN(since[0] + 1, CAP);
       since[1] = MIN(since[1] + 1, CAP);
       uAge[0] = MIN(uAge[0] + 1, CAP);
       uAge[1] = MIN(uAge[1] + 1, CAP);
       wAge[0] = MIN(wAge[0] + 1, CAP);
       wAge[1] = MIN(wAge[1] + 1, CAP) }
  od
}

init
{
  atomic { run Holder(0); run Holder(1); run Store(); run Time() }
}

active proctype Monitor()
{
  atomic { !(SAFE) -> assert(false) }
}
