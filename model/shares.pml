/* Shares of one budget between two holders, recorded in a store with compare-and-swap.
 *
 * Each holder reads the document, plans, sends a write and may or may not receive the reply; a
 * write may take effect late. Time passes in ticks for all processes, also for a paused holder. The
 * lease on a share lasts HOLD ticks, counted from before the write was sent. The other holder
 * reclaims the share after it has read the record unchanged for RECLAIM ticks.
 *
 * Invariant: the shares in use add up to at most TOTAL.
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

byte version;  /* of the document */
byte alloc[2]; /* in the document */
byte seq[2];   /* of each record */

byte used[2];         /* the share that each holder debits */
byte lease[2];        /* remaining ticks of the lease on it */
byte since[2];        /* ticks since the holder read a change of the other's record */
byte seenSeq[2];      /* the other's sequence number as last read */
byte seenAlloc[2];    /* the other's share as last read */
byte readOwnAlloc[2]; /* the own share as last read */
byte readVersion[2];
bool fresh[2];        /* read since the last write */

bool writeInFlight[2]; /* a write that has not taken effect */
bool awaitingReply[2]; /* neither received the reply nor abandoned the write */
byte wVersion[2];
byte wOwn[2];
byte wOther[2];
byte wSeq[2];
byte wAge[2];          /* ticks since it was sent */
byte writes[2];
byte unknownSeq[2];    /* sequence number of a write with unknown outcome; 0 if none */
byte unknownAge[2];    /* ticks since that write was sent */
bool applied[2];       /* the awaited write took effect */

#ifdef NO_TERM_CHECK
#define IN_USE(i) used[i]
#else
#define IN_USE(i) (lease[i] > 0 -> used[i] : 0)
#endif

#define SAFE (IN_USE(0) + IN_USE(1) <= TOTAL)

inline adopt(i, share, age)
{
  used[i] = share;
#ifdef TERM_FROM_REPLY
  lease[i] = HOLD;
#else
  lease[i] = (age < HOLD -> HOLD - age : 0);
#endif
}

proctype Holder(byte i)
{
  byte o = 1 - i;
  byte request;
  byte other;
  do
  /* Reads the document. */
  :: atomic { !awaitingReply[i] && !fresh[i] ->
       readVersion[i] = version;
       if
       :: seq[o] != seenSeq[i] -> seenSeq[i] = seq[o]; since[i] = 0
       :: else -> skip
       fi;
       seenAlloc[i] = alloc[o];
       readOwnAlloc[i] = alloc[i];
       if
       :: unknownSeq[i] != 0 && seq[i] == unknownSeq[i] -> adopt(i, alloc[i], unknownAge[i]); unknownSeq[i] = 0
       :: else -> used[i] = MIN(used[i], alloc[i])
       fi;
       fresh[i] = true }
  /* Plans and sends a write. A released part of the share is not used from here on. */
  :: atomic { fresh[i] && !awaitingReply[i] && !writeInFlight[i] && writes[i] < MAX_WRITES ->
       fresh[i] = false;
       other = (since[i] >= RECLAIM -> 0 : seenAlloc[i]);
       if
       :: request = 0
       :: request = 1
       :: request = TOTAL
       fi;
       request = MIN(request, TOTAL - other);
       wVersion[i] = readVersion[i];
       wOwn[i] = request;
       wOther[i] = other;
       other = 0;
       writes[i]++;
       wSeq[i] = writes[i];
       wAge[i] = 0;
       writeInFlight[i] = true;
       awaitingReply[i] = true;
       applied[i] = false;
#ifndef GIVE_AFTER_WRITE
       used[i] = MIN(used[i], request);
#endif
#ifdef USE_UNCONFIRMED
       used[i] = request;
       lease[i] = HOLD;
#endif
       request = 0
     }
  /* The reply arrives. */
  :: atomic { awaitingReply[i] && !writeInFlight[i] ->
       awaitingReply[i] = false;
       if
       :: applied[i] -> adopt(i, wOwn[i], wAge[i]); unknownSeq[i] = 0
       :: else -> skip
       fi }
  /* The reply is lost, or the write is abandoned before it takes effect. */
  :: atomic { awaitingReply[i] -> awaitingReply[i] = false; unknownSeq[i] = wSeq[i]; unknownAge[i] = wAge[i] }
  od
}

inline takeEffect(i, o)
{
  writeInFlight[i] = false;
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
  :: atomic { writeInFlight[0] -> takeEffect(0, 1) }
  :: atomic { writeInFlight[1] -> takeEffect(1, 0) }
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
       unknownAge[0] = MIN(unknownAge[0] + 1, CAP);
       unknownAge[1] = MIN(unknownAge[1] + 1, CAP);
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
