/* Model of a call: two requests that may not be repeated. Request 0 has attempt 0 at gate 0 and, once
 * that is proven not run, attempt 1 at gate 1. Request 1 has attempt 2 at gate 0; it is neither
 * cancelled nor rejoined, to keep the search small.
 *
 * Frames may be lost, delayed and reordered: a frame in flight is one bit, received in any order. A
 * begin stays in flight on a connection that its sender has closed and may arrive after the rejoin.
 * spec/README.md lists the modelled classes; spec/check lists the broken variants. */

#define REQUESTS 2
#define GATES 2
#define ATTEMPTS 3
#define requestOf(attempt) ((attempt) / 2)
#define gateOf(attempt) ((attempt) == 1)

mtype = { OPEN, ANSWERED, NOT_RUN, UNKNOWN };  /* outcome of a request */
mtype = { UNSEEN, QUEUED, RUNNING, ENDED_NOT_RUN, ENDED };  /* state of an attempt at its gate */
mtype = { NONE, ANSWER, REFUSAL, FAILURE, CANCELLED };  /* replies to the caller's node */

mtype outcome[REQUESTS] = OPEN;
mtype attemptState[ATTEMPTS] = UNSEEN;
mtype reply[ATTEMPTS] = NONE;
bit begin[ATTEMPTS], cancel[ATTEMPTS], rejoin[ATTEMPTS];
bit beginSent[ATTEMPTS];  /* the begin frame was sent */
bit provenNotRun[ATTEMPTS];  /* the caller's node has proof that the attempt was not run */
bit gateRestarted[ATTEMPTS];  /* the gate has restarted since begin was sent */
byte executions[REQUESTS];
bit alive[GATES] = 1;
bit draining[GATES];
bit ranTwice, falseNotRun, foreignAnswer, cutByDrain, workWhileDraining;

#define isActive(a) (attemptState[a] == QUEUED || attemptState[a] == RUNNING)
#define isIdle(g) ((g == 1 && !isActive(1)) || (g == 0 && !isActive(0) && !isActive(2)))

inline replyWithoutRunning(a) {  /* EndedAttempts.provesNotRun */
  if
  :: attemptState[a] == ENDED_NOT_RUN -> reply[a] = REFUSAL
#ifdef TRUST_EMPTY_MEMORY
  :: attemptState[a] == UNSEEN -> reply[a] = REFUSAL; attemptState[a] = ENDED_NOT_RUN
#else
#ifdef FORGET_PROOF
  :: attemptState[a] == UNSEEN && !gateRestarted[a] -> reply[a] = REFUSAL
#else
  :: attemptState[a] == UNSEEN && !gateRestarted[a] -> reply[a] = REFUSAL;
       attemptState[a] = ENDED_NOT_RUN
#endif
  :: attemptState[a] == UNSEEN && gateRestarted[a] -> reply[a] = CANCELLED; attemptState[a] = ENDED
#endif
  :: attemptState[a] == ENDED -> reply[a] = CANCELLED
  fi
}

proctype TargetGate(byte a) {
end:
  do
  :: atomic { beginSent[a] && begin[a] && alive[gateOf(a)] ->
       begin[a] = 0;
       if
       :: attemptState[a] != UNSEEN -> skip  /* duplicate or already cancelled */
#ifndef ADMIT_WHILE_DRAINING
       :: attemptState[a] == UNSEEN && draining[gateOf(a)] -> attemptState[a] = ENDED_NOT_RUN;
            reply[a] = REFUSAL
       :: attemptState[a] == UNSEEN && !draining[gateOf(a)] -> attemptState[a] = QUEUED
#else
       :: attemptState[a] == UNSEEN -> attemptState[a] = QUEUED
#endif
       fi;
       workWhileDraining = workWhileDraining || (attemptState[a] == QUEUED && draining[gateOf(a)]);
       assert(!workWhileDraining) }
  :: atomic { attemptState[a] == QUEUED ->  /* SlotQueue admits */
       attemptState[a] = RUNNING;
       executions[requestOf(a)]++;
       ranTwice = executions[requestOf(a)] > 1;
       falseNotRun = falseNotRun || provenNotRun[a] || outcome[requestOf(a)] == NOT_RUN;
       assert(!ranTwice);
       assert(!falseNotRun) }
  :: atomic { attemptState[a] == QUEUED ->
       /* the deadline cannot be met, or the gate drains */
       attemptState[a] = ENDED_NOT_RUN; reply[a] = REFUSAL }
  :: atomic { attemptState[a] == RUNNING -> attemptState[a] = ENDED; reply[a] = ANSWER }
  :: atomic { attemptState[a] == RUNNING -> attemptState[a] = ENDED; reply[a] = FAILURE }
  :: atomic { cancel[a] && alive[gateOf(a)] ->
       cancel[a] = 0;
       if
#ifdef REFUSE_RUNNING
       :: attemptState[a] == QUEUED || attemptState[a] == RUNNING ->
            attemptState[a] = ENDED_NOT_RUN; reply[a] = REFUSAL
#else
       :: attemptState[a] == QUEUED -> attemptState[a] = ENDED_NOT_RUN; reply[a] = REFUSAL
       :: attemptState[a] == RUNNING -> attemptState[a] = ENDED; reply[a] = CANCELLED
#endif
       :: else -> replyWithoutRunning(a)
       fi }
  :: atomic { rejoin[a] && alive[gateOf(a)] ->
       rejoin[a] = 0;
       if
       :: attemptState[a] == QUEUED || attemptState[a] == RUNNING -> skip
       :: attemptState[a] == ENDED -> reply[a] = ANSWER  /* the stored answer */
       :: attemptState[a] == ENDED -> reply[a] = CANCELLED /* no stored answer */
       :: else -> replyWithoutRunning(a)
       fi }
  od
}

#ifdef MATCH_BY_PEER
#define matches(x, a) (reply[x] != NONE && gateOf(x) == gateOf(a))
#else
#define matches(x, a) (reply[x] != NONE && x == a)
#endif

inline receiveReply(x) { frame = reply[x]; sender = x; reply[x] = NONE }

proctype OutgoingAttempts(byte r) {
  byte a, sender;
  mtype frame;
  bit rejoinSent, cancelSent;
  a = 2 * r;
startAttempt:
  atomic {
    rejoinSent = 0; cancelSent = 0; frame = NONE;
    if
    :: alive[gateOf(a)] -> begin[a] = 1; beginSent[a] = 1
    :: !alive[gateOf(a)] -> goto notRun  /* connection refused */
    fi
  }
awaitReply:
  do
  :: atomic { matches(0, a) -> receiveReply(0); break }
  :: atomic { matches(1, a) -> receiveReply(1); break }
  :: atomic { matches(2, a) -> receiveReply(2); break }
  :: atomic { !rejoinSent && r == 0 -> rejoinSent = 1; reply[a] = NONE;
       rejoin[a] = 1 }  /* connection lost or silent */
  :: atomic { !cancelSent -> cancelSent = 1; cancel[a] = (r == 0) }
#ifndef WAIT_FOR_EVER
  :: cancelSent -> goto unknown  /* the deadline has passed */
#endif
  od;
  if
  :: frame == ANSWER -> goto answered
  :: frame == REFUSAL -> goto notRun
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
    :: beginSent[a] -> provenNotRun[a] = 1; falseNotRun = falseNotRun || attemptState[a] == RUNNING
    :: else -> skip
    fi;
    if
    :: a == 0 -> a = 1; goto startAttempt
         /* RetryPolicy: any request may be retried after NOT_RUN */
    :: outcome[r] = NOT_RUN
    fi;
    falseNotRun = falseNotRun || executions[r] > 0;
    assert(!falseNotRun);
    goto done
  }
unknown:
  atomic {
#ifdef RETRY_UNKNOWN
    if
    :: a == 0 -> a = 1; goto startAttempt
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
  :: atomic {  /* crash and restart without state */
       alive[g] = 0;
       for (a : 0 .. ATTEMPTS - 1) {
         if
         :: beginSent[a] && gateOf(a) == g ->
              attemptState[a] = UNSEEN; gateRestarted[a] = 1;
              begin[a] = 0; cancel[a] = 0; rejoin[a] = 0;
              if
              :: reply[a] = NONE
              :: skip
              fi
         :: else -> skip
         fi
       } };
       alive[g] = 1
  :: draining[g] = 1;  /* planned stop */
       atomic {
#ifndef EXIT_BUSY
         isIdle(g) ->
#endif
         cutByDrain = !isIdle(g);
         assert(!cutByDrain);
         alive[g] = 0;
         for (a : 0 .. ATTEMPTS - 1) {
           if
           :: beginSent[a] && gateOf(a) == g ->
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
