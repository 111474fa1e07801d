/*
 * Publication of the operators' table: how an edit reaches the store and then the hosts.
 *
 * Code modelled: src/publication/edit_plan.h (class EditPlan, process Operator below) and
 * src/publication/table_state.h (class TableState, process Host below).
 *
 * Sizes: two operators, the first with one edit and the second with two, one after the other;
 * CALLS calls to the store for an edit; a history of HISTORY edits (64 in the code); HOSTS hosts
 * and RESTARTS host restarts in total. The initial revision is 1.
 *
 * The store: compare-and-swap on the revision, reads that may be stale by any number of revisions,
 * outages, responses that are lost before or after the write took effect, and writes that arrive late
 * and repeatedly.
 *
 * Operators and hosts are checked in separate branches of init: hosts never affect the store, and of
 * the store only its revision and its outages affect hosts.
 *
 * Left out: the content of tables, confirmation of risky edits, an absent table, and time. That a
 * live peer responds within start_wait is assumed by the guard of the step "start_wait has passed";
 * hosts that are partitioned from all peers are therefore not covered. When no live host has a newer
 * table, a starting host may use a stale read as the newest table, which the code cannot detect.
 *
 * Properties (assertions): an edit takes effect at most once; the outcome reported to its operator is
 * correct and stays so; the revision of a live host never decreases; a host does not start to steer
 * with a revision older than one that a peer had when the host started, if that peer has been live
 * since.
 *
 * Each guard below can be removed with -DNAME; the model must then fail.
 * guards: NO_HISTORY_CHECK BLIND_WRITE LOST_MEANS_NOT_APPLIED FORGOTTEN_MEANS_NOT_APPLIED ACCEPT_OLDER RESTART_IGNORES_PEERS START_WITHOUT_WAIT
 */

#define EDITS 3
#define CALLS 5
#define HISTORY 2
#define HOSTS 2
#define RESTARTS 2
#define LAST_REVISION 5 /* One more than all edits need, so that an edit could take effect twice. */

mtype = { PENDING, IN_FORCE, NOT_IN_FORCE, UNKNOWN };

byte current = 1;                /* Revision in the store. */
byte made_by[LAST_REVISION + 1]; /* Edit that made a revision, plus 1; 0 for none. */
bool store_up = true;

byte effects[EDITS];       /* How often an edit took effect. */
mtype told[EDITS];         /* Outcome reported to its operator. */
bool in_transit[EDITS];    /* A write may still arrive. */
byte transit_from[EDITS];  /* Its expected revision. */

/* A write reaches the store. */
inline apply(e, expected, done) {
  if
#ifdef BLIND_WRITE
  :: current < LAST_REVISION ->
#else
  :: current == expected && current < LAST_REVISION ->
#endif
    current++;
    made_by[current] = e + 1;
    effects[e]++;
    assert(effects[e] <= 1);
    assert(told[e] != NOT_IN_FORCE);
    done = true
  :: else -> done = false
  fi
}

/* Any revision up to the current one: reads may be stale. */
inline read_stale(r) {
  r = current;
  do
  :: r > 1 -> r--
  :: break
  od
}

inline tell(e, outcome) {
  told[e] = outcome;
  assert(outcome != IN_FORCE || effects[e] == 1);
  assert(outcome != NOT_IN_FORCE || effects[e] == 0)
}

/* EditPlan::OnTable and OnSuccessor. */
inline evaluate(e, r) {
  if
  :: from == 0 -> from = r; swaps = true
  :: from > 0 && r > from ->
#ifdef NO_HISTORY_CHECK
    /* Makes the edit again, based on the newer table. */
    if
    :: sent || conflict -> from = r; swaps = true; conflict = false
    :: else -> tell(e, NOT_IN_FORCE)
    fi
#else
    if
    :: r - (from + 1) >= HISTORY && sent ->
#ifdef FORGOTTEN_MEANS_NOT_APPLIED
      tell(e, NOT_IN_FORCE)
#else
      tell(e, UNKNOWN)
#endif
    :: r - (from + 1) >= HISTORY && !sent -> tell(e, NOT_IN_FORCE)
    :: r - (from + 1) < HISTORY && made_by[from + 1] == e + 1 -> tell(e, IN_FORCE)
    :: r - (from + 1) < HISTORY && made_by[from + 1] != e + 1 -> tell(e, NOT_IN_FORCE)
    fi
#endif
  :: from > 0 && r <= from -> swaps = (r == from && !conflict)
  fi
}

inline give_up(e) {
#ifdef LOST_MEANS_NOT_APPLIED
  tell(e, NOT_IN_FORCE)
#else
  if
  :: sent -> tell(e, UNKNOWN)
  :: else -> tell(e, NOT_IN_FORCE)
  fi
#endif
}

proctype Operator(byte first, count) {
  byte e = first;
  byte from = 0;  /* Revision the edit was made from; 0 before the first read. */
  byte calls = 0;
  byte r = 0;
  bool swaps = false;     /* The next call is a swap, not a read. */
  bool sent = false;      /* A swap was sent whose effect is not known. */
  bool conflict = false;
  bool done = false;
  do
  :: atomic { told[e] == PENDING && calls >= CALLS -> give_up(e) }
  :: atomic { told[e] == PENDING && calls < CALLS && !swaps -> calls++;
      if
      :: store_up -> read_stale(r); evaluate(e, r)
      :: true /* No response. */
      fi;
      r = 0 }
  :: atomic { told[e] == PENDING && calls < CALLS && swaps -> calls++;
      if
      :: store_up -> apply(e, from, done);
        if
        :: done -> tell(e, IN_FORCE)
        :: else -> conflict = true; swaps = false
        fi
      :: !store_up /* Not sent. */
      :: /* The response is lost, and the write may arrive at any later time. */
        sent = true; swaps = false; in_transit[e] = true; transit_from[e] = from
      fi;
      done = false }
  :: atomic { told[e] != PENDING && e + 1 < first + count ->
      e++; from = 0; calls = 0; swaps = false; sent = false; conflict = false }
  :: told[e] != PENDING && e + 1 >= first + count -> break
  od
}

/* Delivers late writes once or more or drops them, and takes the store down and up again. */
proctype Network() {
  byte e = 0;
  bool done = false;
end:
  do
  :: atomic { e = 0;
      do
      :: e + 1 < EDITS -> e++
      :: break
      od;
      if
      :: in_transit[e] && store_up -> apply(e, transit_from[e], done)
      :: in_transit[e] -> in_transit[e] = false
      :: else
      fi;
      e = 0; done = false }
  :: store_up = !store_up
  od
}

/* Replaces the operators while hosts are checked: increases the revision and takes the store down and up. */
proctype Writer() {
end:
  do
  :: atomic { store_up && current < LAST_REVISION -> current++ }
  :: store_up = !store_up
  od
}

bool alive[HOSTS];
bool steers[HOSTS];
byte revision[HOSTS];          /* In force; 0 for none. */
bool waited[HOSTS];            /* start_wait has passed, or all peers have reported. */
byte restarts = 0;
#define AT(h, p) ((h) * HOSTS + (p))
bool reported[HOSTS * HOSTS];  /* Peer p reported to host h since h started. */
byte heard[HOSTS * HOSTS];     /* Revision it reported last. */
byte floor[HOSTS * HOSTS];     /* Revision of p when h started, while p has been live since. */

/* TableState::Offer. */
inline offer(h, r) {
  if
#ifdef ACCEPT_OLDER
  :: r > 0 ->
#else
  :: r > revision[h] ->
#endif
    assert(r >= revision[h]);
    revision[h] = r
  :: else
  fi
}

proctype Host(byte h) {
  byte p = 0;
  byte r = 0;
end:
  do
  :: atomic { alive[h] && store_up -> read_stale(r); offer(h, r); r = 0 }
  :: atomic { alive[h] -> p = 0;
      do
      :: p + 1 < HOSTS -> p++
      :: break
      od;
      if
      :: p != h && alive[p] ->
        if
        :: reported[AT(h, p)] = true; heard[AT(h, p)] = revision[p]
        :: offer(h, revision[p]) /* A pulled table. */
        fi
      :: else
      fi;
      p = 0 }
  :: atomic { alive[h] && !steers[h] && !waited[h] -> /* start_wait has passed. */
      waited[h] = true; p = 0;
      do
      :: p < HOSTS ->
        if
        :: p != h && alive[p] && !reported[AT(h, p)] -> waited[h] = false
        :: else
        fi;
        p++
      :: p == HOSTS -> break
      od;
      p = 0 }
  :: atomic { alive[h] && !steers[h] && revision[h] > 0 -> /* TableState::MaySteer. */
      steers[h] = true; p = 0;
#ifndef RESTART_IGNORES_PEERS
#ifndef START_WITHOUT_WAIT
      if
      :: !waited[h] -> steers[h] = false
      :: else
      fi;
#endif
      do
      :: p < HOSTS ->
        if
        :: p != h && heard[AT(h, p)] > revision[h] -> steers[h] = false
        :: else
        fi;
        p++
      :: p == HOSTS -> break
      od;
      p = 0;
#endif
      do
      :: p < HOSTS -> assert(!steers[h] || revision[h] >= floor[AT(h, p)]); p++
      :: p == HOSTS -> break
      od;
      p = 0 }
  :: atomic { alive[h] && restarts < RESTARTS -> restarts++;
      alive[h] = false; steers[h] = false; revision[h] = 0; waited[h] = false; p = 0;
      do
      :: p < HOSTS ->
        reported[AT(h, p)] = false; heard[AT(h, p)] = 0; floor[AT(h, p)] = 0;
        heard[AT(p, h)] = 0; floor[AT(p, h)] = 0; /* NotePeerGone */
        p++
      :: p == HOSTS -> break
      od;
      p = 0 }
  :: atomic { !alive[h] -> alive[h] = true; p = 0;
      do
      :: p < HOSTS ->
        if
        :: p != h && alive[p] -> floor[AT(h, p)] = revision[p]
        :: else
        fi;
        p++
      :: p == HOSTS -> break
      od;
      p = 0 }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < EDITS -> told[i] = PENDING; i++
    :: else -> break
    od;
    if
    :: run Operator(0, 1);
      run Operator(1, 2);
      run Network()
    :: run Writer();
      i = 0;
      do
      :: i < HOSTS -> run Host(i); i++
      :: else -> break
      od
    fi;
    i = 0
  }
}
