/* Model of a move: two zones, each with one node that is also the aggregator of its zone.
 *
 * Reports between the zones may be lost, delayed and duplicated: a report in flight is one slot that
 * the sender overwrites and the receiver may read at any time, or never while it is paused. The log
 * may be unavailable, and the answer to an append may be lost; the append is then repeated.
 * spec/README.md lists the modelled classes; spec/check lists the broken variants. */

#if defined(LIVENESS) || defined(RESTART)
#define REDUCED  /* without an operator's stop and without expiring grants */
#endif

#define ZONES 2
#define NO_STEP 0  /* new version gets no traffic */
#define FIRST_STEP 1  /* new version gets a small share */
#define LAST_STEP 2  /* new version gets all traffic */
#define RECORDS 6

mtype = { EMPTY, STOP, DONE, ROLLED_BACK };

/* The log. */
mtype records[RECORDS] = EMPTY;
byte logEnd;
bit logDown, loseAnswer;

/* State of each node. */
byte step[ZONES], receivedStep[ZONES], foldedOffset[ZONES], maxStep[ZONES];
bit grantValid[ZONES] = 1;
bit closed[ZONES], receivedClosed[ZONES], rollbackKnown[ZONES], stopped[ZONES], trafficWithdrawn[ZONES];
mtype appendedOutcome[ZONES] = EMPTY;
mtype outcome[ZONES] = EMPTY;

/* Reports in flight, by sender. */
byte sentStep[ZONES];
bit sentClosed[ZONES], sentRollback[ZONES];

bit versionBad, decisionDue;
bit rollbackUndone, stepSkipped, outcomeChanged, outcomesDiffer, doneThoughBad;

#define otherZone(z) (1 - (z))
#define effectiveStep(z) (grantValid[z] || step[z] == NO_STEP -> step[z] : step[z] - 1)
#define isOpen(z) (outcome[z] == EMPTY)
#ifdef RAISE_ALONE
#define otherZoneAtStep(z) true
#else
#define otherZoneAtStep(z) (receivedStep[z] >= step[z])
#endif
#ifdef DONE_ALONE
#define otherZoneClosed(z) true
#else
#define otherZoneClosed(z) receivedClosed[z]
#endif
#ifdef JUDGE_AFTER_CLOSE
#define mayEvaluate(z) (!rollbackKnown[z] && !stopped[z])
#else
#define mayEvaluate(z) !isSettled(z)
#endif
#define isSettled(z) (rollbackKnown[z] || stopped[z] || closed[z])

inline checkShare(z) {  /* share in force after an action of a node: NodeMove.refresh */
  if
  :: outcome[z] == DONE -> share = LAST_STEP
  :: outcome[z] == ROLLED_BACK -> share = NO_STEP
  :: isOpen(z) && (rollbackKnown[z] || stopped[z]) -> share = NO_STEP
  :: else -> share = effectiveStep(z)
  fi;
  trafficWithdrawn[z] = trafficWithdrawn[z] || (isOpen(z) && (rollbackKnown[z] || stopped[z])) ||
    outcome[z] == ROLLED_BACK;
  rollbackUndone = trafficWithdrawn[z] && share > NO_STEP;
  assert(!rollbackUndone);
  maxStep[z] = (step[z] > maxStep[z] -> step[z] : maxStep[z]);
  stepSkipped = step[z] > maxStep[otherZone(z)] + 1;
  assert(!stepSkipped);
  share = NO_STEP
}

inline fold(z) {  /* MoveRules.checkOutcome: the first outcome stands */
  if
  :: records[foldedOffset[z]] == STOP && isOpen(z) -> stopped[z] = 1
#ifdef DONE_AFTER_STOP
  :: records[foldedOffset[z]] == DONE && isOpen(z) -> outcome[z] = DONE
#else
  :: records[foldedOffset[z]] == DONE && isOpen(z) && !stopped[z] -> outcome[z] = DONE
#endif
  :: records[foldedOffset[z]] == ROLLED_BACK && isOpen(z) -> outcome[z] = ROLLED_BACK
#ifdef LAST_OUTCOME_STANDS
  :: records[foldedOffset[z]] != STOP && !isOpen(z) ->
       outcomeChanged = outcome[z] != records[foldedOffset[z]];
       assert(!outcomeChanged);
       outcome[z] = records[foldedOffset[z]]
#endif
  :: else -> skip
  fi;
  foldedOffset[z]++;
  outcomesDiffer = !isOpen(0) && !isOpen(1) && outcome[0] != outcome[1];
  assert(!outcomesDiffer)
}

inline appendRecord(record) {  /* OutcomeSink */
  records[logEnd] = record;
  logEnd++
}

proctype MoveEngine(byte z) {
  byte share;
#ifdef REDUCED
  byte remainingLapses = 0;
#else
  byte remainingLapses = 1;
#endif
end:
  do
  :: atomic { isOpen(z) && (sentStep[z] != step[z] || sentClosed[z] != closed[z] ||
              sentRollback[z] != rollbackKnown[z]) ->  /* ZoneReport */
       sentStep[z] = step[z]; sentClosed[z] = closed[z]; sentRollback[z] = rollbackKnown[z] }
  :: atomic { receivedStep[z] < sentStep[otherZone(z)] ||
              (!receivedClosed[z] && sentClosed[otherZone(z)]) ||
              (!rollbackKnown[z] && sentRollback[otherZone(z)] && isOpen(z)) ->
       receivedStep[z] = (sentStep[otherZone(z)] > receivedStep[z] ->
         sentStep[otherZone(z)] : receivedStep[z]);
       receivedClosed[z] = receivedClosed[z] || sentClosed[otherZone(z)];
       rollbackKnown[z] = rollbackKnown[z] || sentRollback[otherZone(z)];
       checkShare(z) }
  :: atomic { isOpen(z) && !isSettled(z) && !decisionDue && step[z] < LAST_STEP &&
              otherZoneAtStep(z) -> step[z]++; checkShare(z) }  /* MoveAggregator.decide */
  :: atomic { isOpen(z) && grantValid[z] && remainingLapses > 0 ->  /* the step grant expires */
       remainingLapses--; grantValid[z] = 0; checkShare(z) }
  :: atomic { isOpen(z) && !grantValid[z] -> grantValid[z] = 1; checkShare(z) }
  :: atomic { isOpen(z) && versionBad && mayEvaluate(z) -> rollbackKnown[z] = 1;
       checkShare(z) }  /* VersionEvaluator finds the version bad */
#ifndef HOLD_FOR_EVER
  :: atomic { isOpen(z) && !isSettled(z) && decisionDue && step[z] < LAST_STEP ->
       rollbackKnown[z] = 1; checkShare(z) }  /* decision time reached before the last step */
#endif
  :: atomic { isOpen(z) && !isSettled(z) && decisionDue && step[z] == LAST_STEP && grantValid[z] ->
       closed[z] = 1 }  /* NodeMove.closed */
  :: atomic { isOpen(z) && !logDown && logEnd < RECORDS && appendedOutcome[z] != ROLLED_BACK &&
              (rollbackKnown[z] || stopped[z]) ->
       appendRecord(ROLLED_BACK);
       appendedOutcome[z] = ROLLED_BACK }
  :: atomic { isOpen(z) && !logDown && logEnd < RECORDS && appendedOutcome[z] == EMPTY &&
              !rollbackKnown[z] && !stopped[z] && closed[z] && otherZoneClosed(z) ->
       appendRecord(DONE);
       if
       :: loseAnswer && logEnd < RECORDS -> loseAnswer = 0  /* the append will be repeated */
       :: appendedOutcome[z] = DONE
       fi }
  :: atomic { foldedOffset[z] < logEnd && !logDown -> fold(z); checkShare(z) }
  od
}

#ifdef RESTART
proctype Restart(byte z) {  /* a replaced node has only the state that the log holds */
  atomic {
    step[z] = NO_STEP; receivedStep[z] = NO_STEP; foldedOffset[z] = 0; closed[z] = 0;
      receivedClosed[z] = 0;
    rollbackKnown[z] = 0; stopped[z] = 0; trafficWithdrawn[z] = 0; appendedOutcome[z] = EMPTY;
      outcome[z] = EMPTY;
    sentStep[z] = 0; sentClosed[z] = 0; sentRollback[z] = 0
  }
}
#endif

proctype Environment() {
  if
  :: versionBad = 1
  :: skip
  fi;
  if
  :: loseAnswer = 1
  :: skip
  fi;
  if
  :: atomic { logDown = 1; decisionDue = 1 }; logDown = 0
  :: decisionDue = 1
  fi
}

proctype Operator() {
  if
  :: atomic { !logDown && logEnd < 2 -> appendRecord(STOP) }
  :: skip
  fi
}

init {
  atomic {
    run MoveEngine(0); run MoveEngine(1); run Environment();
#ifndef REDUCED
    run Operator();
#endif
#ifdef RESTART
    run Restart(1)
#endif
  }
}

#ifdef LIVENESS
ltl everyMoveEnds { <> (outcome[0] != EMPTY && outcome[1] != EMPTY) }
#endif
