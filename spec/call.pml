/* The call: two requests that may not be repeated. Request 0 has attempt 0 at gate 0 and, after a
 * proven not run, attempt 1 at gate 1; request 1 has attempt 2 at gate 0, is never cancelled and
 * asks no second time, which keeps the search small.
 *
 * Frames may be lost, late and crossed: a frame in flight is one bit, taken in any order. A begin
 * stays in flight on a connection that its sender has given up, and may arrive after the rejoin.
 * spec/README.md names the classes that the processes stand for. Variants: see spec/check. */

#define REQUESTS 2
#define GATES 2
#define ATTEMPTS 3
#define requestOf(attempt) ((attempt) / 2)
#define gateOf(attempt) ((attempt) == 1)

mtype = { OPEN, ANSWERED, NOT_RUN, UNKNOWN };                    /* outcome of a request */
mtype = { UNSEEN, QUEUED, RUNNING, ENDED_NOT_RUN, ENDED };       /* attempt at its gate */
mtype = { NONE, ANSWER, REFUSAL, FAILURE, CANCELLED };           /* frames to the caller's node */

mtype outcome[REQUESTS] = OPEN;
mtype stage[ATTEMPTS] = UNSEEN;
mtype reply[ATTEMPTS] = NONE;
bit begin[ATTEMPTS], cancel[ATTEMPTS], rejoin[ATTEMPTS];
bit begun[ATTEMPTS];       /* begin was sent */
bit proven[ATTEMPTS];      /* its caller's node holds a proof that it was not run */
bit forgotten[ATTEMPTS];   /* its gate has restarted since begin was sent */
byte runs[REQUESTS];
bit alive[GATES] = 1;
bit draining[GATES];
bit ranTwice, falseNotRun, foreignAnswer, cutByDrain, workWhileDraining;

#define busy(a) (stage[a] == QUEUED || stage[a] == RUNNING)
#define idle(g) ((g == 1 && !busy(1)) || (g == 0 && !busy(0) && !busy(2)))

inline proveOrAdmit(a) {                            /* EndedAttempts.provesNotRun */
  if
  :: stage[a] == ENDED_NOT_RUN -> reply[a] = REFUSAL
#ifdef TRUST_EMPTY_MEMORY
  :: stage[a] == UNSEEN -> reply[a] = REFUSAL; stage[a] = ENDED_NOT_RUN
#else
#ifdef FORGET_PROOF
  :: stage[a] == UNSEEN && !forgotten[a] -> reply[a] = REFUSAL
#else
  :: stage[a] == UNSEEN && !forgotten[a] -> reply[a] = REFUSAL; stage[a] = ENDED_NOT_RUN
#endif
  :: stage[a] == UNSEEN && forgotten[a] -> reply[a] = CANCELLED; stage[a] = ENDED
#endif
  :: stage[a] == ENDED -> reply[a] = CANCELLED
  fi
}

proctype TargetGate(byte a) {
end:
  do
  :: atomic { begun[a] && begin[a] && alive[gateOf(a)] ->
       begin[a] = 0;
       if
       :: stage[a] != UNSEEN -> skip                /* repeated or already withdrawn */
#ifndef ADMIT_WHILE_DRAINING
       :: stage[a] == UNSEEN && draining[gateOf(a)] -> stage[a] = ENDED_NOT_RUN; reply[a] = REFUSAL
       :: stage[a] == UNSEEN && !draining[gateOf(a)] -> stage[a] = QUEUED
#else
       :: stage[a] == UNSEEN -> stage[a] = QUEUED
#endif
       fi;
       workWhileDraining = workWhileDraining || (stage[a] == QUEUED && draining[gateOf(a)]);
       assert(!workWhileDraining) }
  :: atomic { stage[a] == QUEUED ->                 /* SlotQueue admits */
       stage[a] = RUNNING;
       runs[requestOf(a)]++;
       ranTwice = runs[requestOf(a)] > 1;
       falseNotRun = falseNotRun || proven[a] || outcome[requestOf(a)] == NOT_RUN;
       assert(!ranTwice);
       assert(!falseNotRun) }
  :: atomic { stage[a] == QUEUED ->                 /* the deadline can't be met, or drain */
       stage[a] = ENDED_NOT_RUN; reply[a] = REFUSAL }
  :: atomic { stage[a] == RUNNING -> stage[a] = ENDED; reply[a] = ANSWER }
  :: atomic { stage[a] == RUNNING -> stage[a] = ENDED; reply[a] = FAILURE }
  :: atomic { cancel[a] && alive[gateOf(a)] ->
       cancel[a] = 0;
       if
#ifdef REFUSE_RUNNING
       :: stage[a] == QUEUED || stage[a] == RUNNING -> stage[a] = ENDED_NOT_RUN; reply[a] = REFUSAL
#else
       :: stage[a] == QUEUED -> stage[a] = ENDED_NOT_RUN; reply[a] = REFUSAL
       :: stage[a] == RUNNING -> stage[a] = ENDED; reply[a] = CANCELLED
#endif
       :: else -> proveOrAdmit(a)
       fi }
  :: atomic { rejoin[a] && alive[gateOf(a)] ->
       rejoin[a] = 0;
       if
       :: stage[a] == QUEUED || stage[a] == RUNNING -> skip
       :: stage[a] == ENDED -> reply[a] = ANSWER    /* the kept answer */
       :: stage[a] == ENDED -> reply[a] = CANCELLED /* not kept */
       :: else -> proveOrAdmit(a)
       fi }
  od
}

#ifdef MATCH_BY_PEER
#define mine(x, a) (reply[x] != NONE && gateOf(x) == gateOf(a))
#else
#define mine(x, a) (reply[x] != NONE && x == a)
#endif

inline take(x) { got = reply[x]; sender = x; reply[x] = NONE }

proctype OutgoingAttempts(byte r) {
  byte a, sender;
  mtype got;
  bit rejoined, cancelled;
  a = 2 * r;
next:
  atomic {
    rejoined = 0; cancelled = 0; got = NONE;
    if
    :: alive[gateOf(a)] -> begin[a] = 1; begun[a] = 1
    :: !alive[gateOf(a)] -> goto notRun             /* the connection was refused */
    fi
  }
wait:
  do
  :: atomic { mine(0, a) -> take(0); break }
  :: atomic { mine(1, a) -> take(1); break }
  :: atomic { mine(2, a) -> take(2); break }
  :: atomic { !rejoined && r == 0 -> rejoined = 1; reply[a] = NONE; rejoin[a] = 1 }   /* lost or silent */
  :: atomic { !cancelled -> cancelled = 1; cancel[a] = (r == 0) }
#ifndef WAIT_FOR_EVER
  :: cancelled -> goto unknown                      /* the deadline has passed */
#endif
  od;
  if
  :: got == ANSWER -> goto answered
  :: got == REFUSAL -> goto notRun
  :: else -> goto unknown
  fi;
answered:
  atomic {
    foreignAnswer = requestOf(sender) != r;
    assert(!foreignAnswer);
    outcome[r] = ANSWERED;
    goto done
  }
notRun:
  atomic {
    if
    :: begun[a] -> proven[a] = 1; falseNotRun = falseNotRun || stage[a] == RUNNING
    :: else -> skip
    fi;
    if
    :: a == 0 -> a = 1; goto next                 /* RetryPolicy: any request after NOT_RUN */
    :: outcome[r] = NOT_RUN
    fi;
    falseNotRun = falseNotRun || runs[r] > 0;
    assert(!falseNotRun);
    goto done
  }
unknown:
  atomic {
#ifdef RETRY_UNKNOWN
    if
    :: a == 0 -> a = 1; goto next
    :: outcome[r] = UNKNOWN
    fi
#else
    outcome[r] = UNKNOWN
#endif
  }
done:
  skip
}

proctype Faults() {
  byte a;
  byte g = 0;
  if
  :: atomic {                                        /* crash, then a restart without memory */
       alive[g] = 0;
       for (a : 0 .. ATTEMPTS - 1) {
         if
         :: begun[a] && gateOf(a) == g ->
              stage[a] = UNSEEN; forgotten[a] = 1;
              begin[a] = 0; cancel[a] = 0; rejoin[a] = 0;
              if
              :: reply[a] = NONE
              :: skip
              fi
         :: else -> skip
         fi
       } };
       alive[g] = 1
  :: draining[g] = 1;                                /* planned stop */
       atomic {
#ifndef EXIT_BUSY
         idle(g) ->
#endif
         cutByDrain = !idle(g);
         assert(!cutByDrain);
         alive[g] = 0;
         for (a : 0 .. ATTEMPTS - 1) {
           if
           :: begun[a] && gateOf(a) == g ->
                begin[a] = 0; cancel[a] = 0; rejoin[a] = 0
           :: else -> skip
           fi
         } }
  :: skip
  fi
}

init {
  atomic {
    run TargetGate(0); run TargetGate(1); run OutgoingAttempts(0); run Faults();
#ifndef LIVENESS
    run TargetGate(2); run OutgoingAttempts(1)
#endif
  }
}

#ifdef LIVENESS
ltl everyCallEnds { <> (outcome[0] != OPEN) }
#endif
