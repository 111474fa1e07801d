/* At-most-once execution: a caller repeats a request at two entry hosts (design, section 5).
 *
 * Models src/ticket/register.h and the way the front end must use it: Copy is one arrival of the
 * request (ticket::Register::Begin, MarkDispatched, Finish, FinishNotRun), Void is one arrival of
 * POST /v1/ticket/void (VoidIfNotDispatched). Ticket t is issued by incarnation 1 of host t. The
 * caller starts with ticket 0 and uses ticket 1 only after it was told `not-run`.
 *
 * Any step may be followed by a pause of any length, since each process may stop between its atomic
 * steps. Messages between hosts, requests to the target and responses may be lost or late. Each host
 * may die at any point and restart as a new incarnation. Deadlines may pass at any point.
 *
 * Left out: the text and tag of a ticket (unit tests), mismatched requests, the bounds of the
 * register, stored responses. Time is not modelled: a ticket may expire, and its entry may be
 * removed, at any point after it was issued, which allows more histories than real clocks do.
 *
 * Properties, as assertions: the target runs a ticket at most once; the request runs at most once
 * under both tickets together; `not-run` is reported only for a ticket that never ran and never runs.
 *
 * Each name below removes one guard when it is defined, and spin must then find a violation:
 * guards: FORWARDER_RUNS RESTART_ACCEPTS_TICKETS RESTART_SAYS_NOT_RUN VOID_IGNORES_DISPATCH WRITE_WITHOUT_CHECK FRESH_AFTER_NOT_RUN NOT_RUN_AFTER_WRITE LAPSED_WAITER_SAYS_NOT_RUN SILENCE_IS_NOT_RUN RESEND GONE_IS_FRESH GONE_IS_NOT_RUN
 */

#ifndef COPIES
#define COPIES 2 /* arrivals with ticket 0; ticket 1 gets one fewer */
#endif

mtype = { Fresh, Running, Dispatched, Ended, Voided, Gone };

mtype state[2] = Fresh;     /* entry of ticket t in the register of host t */
bool expired[2];
bool up[2] = true;
byte incarnation[2] = 1;
byte written[2];            /* requests in transit to the target */
byte runs[2];               /* runs at the target */
bool told_not_run[2];

#define ALIVE(t, i) (up[t] && incarnation[t] == i)

inline TellNotRun(t) {
  assert(runs[t] == 0);
  told_not_run[t] = true
}

/* Nothing was written to the target: Register::FinishNotRun. */
inline FinishNotRun(t) {
  if
  :: state[t] == Running ->
#ifdef FRESH_AFTER_NOT_RUN
     state[t] = Fresh;
#else
     state[t] = Voided;
#endif
     TellNotRun(t)
  :: state[t] == Voided -> TellNotRun(t)
  :: else /* the entry was removed: unknown */
  fi
}

/* A request reaches the target, which runs it or does not (it sheds it, or the connection broke). */
inline Arrive(t) {
  if
  :: true ->
     assert(!told_not_run[t]);
     runs[t]++;
     assert(runs[0] + runs[1] <= 1)
  :: true
  fi
}

/* A restart finds an empty register at the same address. */
inline Restart(h) {
  atomic {
    incarnation[h]++;
    up[h] = true;
    state[h] = Fresh
  }
}

/* One arrival of the request with ticket t at host `entry`. It may start at any time after the
 * caller sent it. */
proctype Copy(byte t; byte entry) {
  byte mine;
  /* Forwarding, and Register::Begin at the issuer. */
  atomic {
    if
    :: entry != t ->
       /* No response from the issuer's address: unknown. */
#ifdef FORWARDER_RUNS
       written[t]++;
#endif
#ifdef SILENCE_IS_NOT_RUN
       TellNotRun(t);
#endif
       goto done
    :: true -> entry = t
    fi;
    if
    :: !up[t] -> goto done
    :: else -> mine = incarnation[t]
    fi;
    if
    :: mine != 1 ->
#ifdef RESTART_SAYS_NOT_RUN
       TellNotRun(t);
#endif
#ifndef RESTART_ACCEPTS_TICKETS
       goto done
#endif
    :: else
    fi;
    if
    :: state[t] == Fresh && !expired[t] -> state[t] = Running
    :: state[t] == Fresh && expired[t] -> state[t] = Voided; TellNotRun(t); goto done
    :: state[t] == Voided -> TellNotRun(t); goto done
    :: state[t] == Running || state[t] == Dispatched -> goto join
    :: state[t] == Ended -> goto done
    :: state[t] == Gone ->
#ifdef GONE_IS_FRESH
       state[t] = Running
#else
#ifdef GONE_IS_NOT_RUN
       TellNotRun(t);
#endif
       goto done
#endif
    fi
  };

  /* Register::FinishNotRun if the connection failed, else Register::MarkDispatched, which may find
   * that a deadline has passed. */
  atomic {
    if
    :: !ALIVE(t, mine) -> goto done
    :: ALIVE(t, mine) -> FinishNotRun(t); goto done
    :: ALIVE(t, mine)
    fi;
#ifdef WRITE_WITHOUT_CHECK
    state[t] = Dispatched
#else
    if
    :: state[t] == Running -> state[t] = Dispatched
    :: state[t] == Voided -> TellNotRun(t); goto done
    :: else -> goto done
    fi
#endif
  };

  /* The write, during which the connection may break. */
  atomic {
    if
    :: !ALIVE(t, mine) -> goto done
    :: ALIVE(t, mine) -> written[t]++
#ifdef RESEND
    :: ALIVE(t, mine) -> written[t] = written[t] + 2
#endif
    fi
  };

  /* The response arrived, or it was lost, late or cut off: Register::Finish. */
  atomic {
    if
    :: ALIVE(t, mine) && state[t] == Dispatched ->
       state[t] = Ended;
#ifdef NOT_RUN_AFTER_WRITE
       TellNotRun(t);
#endif
    :: else
    fi;
    goto done
  };

join:
  /* Waits for the end of the run or for the deadline of its own request. */
  atomic {
    if
    :: ALIVE(t, mine) && state[t] == Voided -> TellNotRun(t)
#ifdef LAPSED_WAITER_SAYS_NOT_RUN
    :: ALIVE(t, mine) -> TellNotRun(t)
#endif
    :: state[t] != Voided || !ALIVE(t, mine) /* replay or unknown */
    fi
  };
done:
  /* Clears the local state, so that equal ends are one state. */
  atomic { t = 0; entry = 0; mine = 0 }
}

/* One arrival of a void call for ticket t, directly or forwarded. */
proctype Void(byte t) {
  atomic {
    if
    :: !ALIVE(t, 1) -> goto done
    :: true -> goto done /* no response from the issuer: unknown */
    :: ALIVE(t, 1)
    fi;
    if
    :: state[t] == Fresh || state[t] == Running || state[t] == Voided ->
       state[t] = Voided;
       TellNotRun(t)
#ifdef VOID_IGNORES_DISPATCH
    :: state[t] == Dispatched ->
       state[t] = Voided;
       TellNotRun(t)
#endif
    :: else
    fi
  };
done:
  skip
}

proctype Target() {
end:
  do
  :: atomic { written[0] > 0 -> written[0]--; Arrive(0) }
  :: atomic { written[1] > 0 -> written[1]--; Arrive(1) }
  od
}

/* Repeats the request at either host, may void the ticket, and uses a new ticket only after `not-run`. */
proctype Caller() {
  byte n = 0;
  bool has_voided = false;
end_ticket:
  do
  :: n < COPIES -> run Copy(0, 0); n++
  :: n < COPIES -> run Copy(0, 1); n++
  :: !has_voided -> run Void(0); has_voided = true
  :: told_not_run[0] -> break
  od;
  n = 0;
end_new_ticket:
  do
  :: n < COPIES - 1 -> run Copy(1, 0); n++
  :: n < COPIES - 1 -> run Copy(1, 1); n++
  od
}

/* Each host dies at most once. Each ticket may expire, and its entry may then be removed. */
proctype Environment() {
end:
  do
  :: up[0] && incarnation[0] == 1 -> up[0] = false
  :: up[1] && incarnation[1] == 1 -> up[1] = false
  :: !up[0] -> Restart(0)
  :: !up[1] -> Restart(1)
  :: !expired[0] -> expired[0] = true
  :: !expired[1] -> expired[1] = true
  :: atomic { expired[0] && incarnation[0] == 1 && state[0] != Gone -> state[0] = Gone }
  :: atomic { expired[1] && incarnation[1] == 1 && state[1] != Gone -> state[1] = Gone }
  od
}

init {
  atomic { run Target(); run Environment(); run Caller() }
}
