/*
 * The lease of a region's coordinator: renewal, promises and takeover. At most one host acts as the coordinator, and
 * the replaced host sends nothing after the takeover was sent. specs/sharing.pml relies on this.
 *
 * Models src/shares/coordinator_lease.h.
 *
 * Size: holder A and its standbys B and C, one takeover by either. Lease term and promise of 2 ticks each. Each host
 * has at most one write in transit, and each pair of hosts at most one promise request and one response. Every step is
 * optional, and time passes regardless: the store may be down for any time, any host may be paused at any point for any
 * time, any message may be lost, and a write may take effect at any time after it was sent.
 *
 * Left out: clock drift and the margin for it, a second takeover, changes of standbys, takeovers by hosts that are not
 * standbys, replaced incarnations.
 */
// guards: NO_PROMISE_CHECK NO_PENDING_NOR_TIME_CHECK NO_TERM_WAIT ONE_PROMISE TERM_FROM_ANSWER PROMISE_FROM_ANSWER

#define TERM 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define STANDBYS 2

byte taken = 0;             /* 0: the record is A's; else 1 + the standby that took over */

byte write = 0;             /* A's renewal: 0 none, 1 in transit, 2 took effect */
byte age = 0;               /* ticks since it was sent */
byte term = TERM;
byte cover[STANDBYS];       /* ticks for which a standby's promise covers A */
bool ask[STANDBYS]; byte ask_age[STANDBYS];
bool answer[STANDBYS]; byte answer_age[STANDBYS];

bool stale[STANDBYS] = true;   /* the record has changed since the standby read it */
byte unchanged[STANDBYS];      /* ticks since it first read the present record */
byte promised[STANDBYS];
bool takeover[STANDBYS];       /* takeover in transit or with unknown result */
byte takeover_age[STANDBYS];
byte new_term[STANDBYS];

#ifdef ONE_PROMISE
#define COVER MAX(cover[0], cover[1])
#else
#define COVER MIN(cover[0], cover[1])
#endif
#define A_HOLDS (term > 0 || COVER > 0)

/* Either of these two guards is sufficient, so they are removed together: no promise while a takeover is pending, and
 * no response counted after A's time has expired. */
#ifdef NO_PENDING_NOR_TIME_CHECK
#define MAY_PROMISE true
#define MAY_COUNT true
#else
#define MAY_PROMISE (!takeover[k])
#define MAY_COUNT A_HOLDS
#endif
#ifdef NO_PROMISE_CHECK
#define HAS_NOT_PROMISED true
#else
#define HAS_NOT_PROMISED (promised[k] == 0)
#endif
#ifdef NO_TERM_WAIT
#define HAS_WAITED (unchanged[k] >= TERM - 1)
#else
#define HAS_WAITED (unchanged[k] >= TERM)
#endif

inline check() {
  assert(A_HOLDS + (new_term[0] > 0) + (new_term[1] > 0) <= 1);
  /* A sends nothing after a takeover that takes effect was sent. */
  assert(!(taken > 0 && A_HOLDS))
}

inline down(t) { if :: t > 0 -> t-- :: else fi }
inline up(t) { if :: t < TERM -> t++ :: else fi }

/* Drops messages that are too old to have an effect, to reduce the number of states. */
inline tick() {
  down(term);
  if :: write > 0 -> up(age) :: else fi;
  for (k : 0 .. STANDBYS - 1) {
    down(cover[k]); down(promised[k]); down(new_term[k]);
    if :: !stale[k] -> up(unchanged[k]) :: else fi;
    if :: takeover[k] -> up(takeover_age[k]) :: else fi;
    if :: ask[k] -> up(ask_age[k]) :: else fi;
    if :: answer[k] -> up(answer_age[k]) :: else fi;
    if :: ask_age[k] == TERM -> ask[k] = false; ask_age[k] = 0 :: else fi;
    if :: answer_age[k] == TERM -> answer[k] = false; answer_age[k] = 0 :: else fi
  }
}

active proctype region() {
  byte k = 0;
  do
  :: d_step { tick(); k = 0; check() }

  /* A renews its lease. The response may be lost, and A may learn the result later by reading the record. */
  :: d_step { write == 0 && taken == 0 -> write = 1; age = 0 }
  :: d_step { write == 1 && taken == 0 ->
       write = 2; stale[0] = true; stale[1] = true; unchanged[0] = 0; unchanged[1] = 0 }
  :: d_step { write == 1 && taken > 0 -> write = 0; age = 0 }
#ifdef TERM_FROM_ANSWER
  :: d_step { write == 2 && taken == 0 -> term = TERM; write = 0; age = 0; check() }
#else
  :: d_step { write == 2 -> term = MAX(term, TERM - age); write = 0; age = 0; check() }
#endif
  :: d_step { write == 2 -> write = 0; age = 0 }

  :: k = 0; goto standby
  :: k = 1;
standby:
     if
     :: d_step { A_HOLDS && !ask[k] -> ask[k] = true; ask_age[k] = 0 }
     :: d_step { ask[k] && MAY_PROMISE && taken != k + 1 ->
          promised[k] = TERM; answer[k] = true; answer_age[k] = ask_age[k]; ask[k] = false; ask_age[k] = 0 }
     :: d_step { ask[k] -> ask[k] = false; ask_age[k] = 0 }
#ifdef PROMISE_FROM_ANSWER
     :: d_step { answer[k] && MAY_COUNT -> cover[k] = TERM; answer[k] = false; answer_age[k] = 0; check() }
#else
     :: d_step { answer[k] && MAY_COUNT ->
          cover[k] = MAX(cover[k], TERM - answer_age[k]); answer[k] = false; answer_age[k] = 0; check() }
#endif
     :: d_step { answer[k] -> answer[k] = false; answer_age[k] = 0 }
     /* A read, which also shows that a write that expected an older record had no effect. */
     :: d_step { taken == 0 && stale[k] ->
          stale[k] = false; unchanged[k] = 0; takeover[k] = false; takeover_age[k] = 0 }
     :: d_step { !takeover[k] && taken == 0 && HAS_WAITED && HAS_NOT_PROMISED -> takeover[k] = true; takeover_age[k] = 0 }
     :: d_step { takeover[k] && taken == 0 && !stale[k] -> taken = k + 1; check() }
     /* The response or a later read shows that the takeover took effect. */
     :: d_step { taken == k + 1 && takeover[k] ->
          new_term[k] = TERM - takeover_age[k]; takeover[k] = false; takeover_age[k] = 0; check() }
     :: d_step { taken == 2 - k && takeover[k] -> takeover[k] = false; takeover_age[k] = 0 }
     :: else
     fi;
     k = 0
  od
}
