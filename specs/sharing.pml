/*
 * Division of one target's slots by a coordinator that is replaced: grant, expiry, pause, epoch and takeover.
 *
 * Models src/shares: Ledger (claims, acknowledgement, expiry, recovery) and Holdings (deadline counted from when the
 * heartbeat was sent, order of epochs, no increase by a reply to a heartbeat sent before its epoch was known).
 * specs/lease.pml shows, with promises and a store that fails, that the old coordinator sends no replies after the
 * takeover was sent.
 *
 * Size: one target with 1 slot, 2 members, coordinators A of epoch 1 and B of epoch 2. Terms in ticks: grant 2, longest
 * work 1. Between a member and the coordinator at most one heartbeat and one reply are in transit, and newer ones
 * overwrite older; heartbeats to B from before its takeover and A's last replies stay in transit. Every step is
 * optional, and time passes regardless: any process may be paused at any point for any time, and any message may be
 * lost.
 *
 * Left out: work classes, region limits and moved work (sums of the same claims), clock drift and the margin for it,
 * repeated messages, a second takeover.
 */
// guards: NO_LAPSE_WAIT NO_RECOVERY_WAIT NO_ACK_CHECK NO_CLAMP NO_EPOCH_CHECK COUNT_FROM_RECEIPT IGNORE_WORK

#define SLOTS 1
#define GRANT 2
#define WORK 1
#ifdef IGNORE_WORK
#define HOLD GRANT
#else
#define HOLD (GRANT + WORK)
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

bool b_serves = false;

/* Members: slots held, ticks until their deadline, requests in flight and ticks until the last one ends. */
byte held[2];
byte deadline[2];
byte work[2];
byte work_left[2];
bool knows_b[2];            /* has applied a reply of epoch 2 */
#define USABLE(m) (deadline[m] > 0 -> held[m] : 0)
#define EXPOSED(m) MAX(USABLE(m), work[m])

/* The heartbeat in transit to the coordinator: slots reported, epoch, and whether its last reply was applied. */
bool hb[2]; byte hb_age[2]; byte hb_held[2]; bool hb_knows[2]; bool hb_ack[2];
/* A heartbeat in transit to B while A serves. It counts as sent at the takeover, so that its grants last longer. */
bool to_b[2]; byte to_b_held[2];
/* The coordinator's reply in transit, and A's last reply after B has taken over. */
bool re[2]; byte re_age[2]; byte re_slots[2]; bool re_raises[2];
bool old[2]; byte old_age[2]; byte old_slots[2];
bool applied[2];            /* the coordinator's last reply was applied */

/* The coordinator's ledger. */
byte reported[2]; byte told[2]; byte lapse[2];
bool settled[2];            /* reported in the coordinator's epoch */
byte recovery = 0;          /* ticks until B stops waiting for reports */
#define CLAIM(m) MAX(reported[m], told[m])
#ifdef NO_RECOVERY_WAIT
#define RECOVERED true
#else
#define RECOVERED (recovery == 0 || (settled[0] && settled[1]))
#endif

inline check() { assert(EXPOSED(0) + EXPOSED(1) <= SLOTS) }
inline down(t) { if :: t > 0 -> t-- :: else fi }
inline up(t) { if :: t < GRANT -> t++ :: else fi }

inline drop_reply() { re[m] = false; re_age[m] = 0; re_slots[m] = 0; re_raises[m] = false }
inline drop_old() { old[m] = false; old_age[m] = 0; old_slots[m] = 0 }
inline drop_heartbeat() { hb[m] = false; hb_age[m] = 0; hb_held[m] = 0; hb_knows[m] = false; hb_ack[m] = false }
inline drop_to_b() { to_b[m] = false; to_b_held[m] = 0 }

inline tick() {
  down(recovery);
  for (m : 0 .. 1) {
    down(deadline[m]);
    if :: deadline[m] == 0 -> held[m] = 0 :: else fi;
    down(work_left[m]);
    if :: work_left[m] == 0 -> work[m] = 0 :: else fi;
    if :: hb[m] -> up(hb_age[m]) :: else fi;
    if :: re[m] -> up(re_age[m]) :: else fi;
    if :: old[m] -> up(old_age[m]) :: else fi;
#ifndef COUNT_FROM_RECEIPT
    /* No time is left of its grant. */
    if :: old_age[m] == GRANT -> drop_old() :: else fi;
#endif
    down(lapse[m]);
#ifdef NO_LAPSE_WAIT
    reported[m] = 0; told[m] = 0
#else
    if :: lapse[m] == 0 -> reported[m] = 0; told[m] = 0 :: else fi
#endif
  }
  m = 0
}

inline send_heartbeat() {
  hb[m] = true;
  hb_age[m] = 0;
  hb_held[m] = EXPOSED(m);
  hb_knows[m] = knows_b[m];
  hb_ack[m] = applied[m]
}

inline copy_to_b() {
  to_b[m] = true;
  to_b_held[m] = hb_held[m]
}

/* The coordinator processes a heartbeat and replies with a total of s, as far as it may raise it. */
inline answer_heartbeat() {
  reported[m] = hb_held[m];
  if :: !b_serves || hb_knows[m] ->
#ifndef NO_ACK_CHECK
     if :: hb_ack[m] -> told[m] = 0 :: else fi;
#else
     told[m] = 0;
#endif
     settled[m] = true
  :: else
  fi;
  if
  :: s > hb_held[m] && !(settled[m] && RECOVERED && s + CLAIM(1 - m) <= SLOTS) -> s = hb_held[m]
  :: else
  fi;
  told[m] = MAX(told[m], s);
  if :: CLAIM(m) > 0 -> lapse[m] = HOLD :: else -> lapse[m] = 0 fi;
  re[m] = true;
  re_age[m] = hb_age[m];
  re_slots[m] = s;
  re_raises[m] = (!b_serves || hb_knows[m]);
  applied[m] = false;
  drop_heartbeat()
}

inline hold(slots, age) {
  held[m] = slots;
#ifdef COUNT_FROM_RECEIPT
  deadline[m] = GRANT;
#else
  deadline[m] = GRANT - age;
#endif
  if :: deadline[m] == 0 || held[m] == 0 -> deadline[m] = 0; held[m] = 0 :: else fi
}

inline apply_reply() {
  if :: b_serves -> knows_b[m] = true :: else fi;
  applied[m] = true;
#ifndef NO_CLAMP
  if :: !re_raises[m] -> re_slots[m] = MIN(re_slots[m], USABLE(m)) :: else fi;
#endif
  hold(re_slots[m], re_age[m]);
  drop_reply()
}

inline apply_old() {
#ifdef NO_EPOCH_CHECK
  hold(old_slots[m], old_age[m]);
#else
  if :: knows_b[m] -> skip :: else -> hold(old_slots[m], old_age[m]) fi;
#endif
  drop_old()
}

inline take_over() {
  b_serves = true;
  recovery = HOLD;
  for (m : 0 .. 1) {
    hb[m] = to_b[m]; hb_age[m] = 0; hb_held[m] = to_b_held[m]; hb_knows[m] = false; hb_ack[m] = false;
    drop_to_b();
    old[m] = re[m]; old_age[m] = re_age[m]; old_slots[m] = re_slots[m];
    drop_reply();
    applied[m] = false; settled[m] = false; reported[m] = 0; told[m] = 0; lapse[m] = 0
  }
  m = 0
}

/* Selecting the member inside each step avoids intermediate states. */
#define STEPS(k) \
  :: d_step { true -> m = k; send_heartbeat(); m = 0 } \
  :: d_step { !b_serves && hb[k] -> m = k; copy_to_b(); m = 0 } \
  :: d_step { hb[k] -> m = k; s = 0; answer_heartbeat(); m = 0; s = 0; check() } \
  :: d_step { hb[k] -> m = k; s = SLOTS; answer_heartbeat(); m = 0; s = 0; check() } \
  :: d_step { re[k] -> m = k; apply_reply(); m = 0; check() } \
  :: d_step { old[k] -> m = k; apply_old(); m = 0; check() } \
  :: d_step { work[k] < USABLE(k) -> work[k]++; work_left[k] = WORK; check() }

active proctype region() {
  byte m = 0;
  byte s = 0;
  do
  :: d_step { tick(); check() }
  :: d_step { !b_serves -> take_over() }
  STEPS(0)
  STEPS(1)
  od
}
