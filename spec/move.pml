/* A move: two zones, each with one node that is also its zone's aggregator.
 *
 * Reports between the zones are lost, late and repeated: a report in flight is one slot that the
 * sender overwrites and the receiver may read at any time, or never while it is paused. The log may
 * be out, and the answer to an append may be lost, so that it is repeated.
 * spec/README.md names the classes that the processes stand for. Variants: see spec/check. */

#if defined(LIVENESS) || defined(RESTART)
#define SMALL              /* neither stop nor lapse */
#endif

#define ZONES 2
#define NO_STEP 0          /* no share */
#define FIRST_STEP 1       /* the small share */
#define LAST_STEP 2        /* all traffic */
#define RECORDS 6

mtype = { EMPTY, STOP, DONE, ROLLED_BACK };

/* The log and its fold. */
mtype records[RECORDS] = EMPTY;
byte logEnd;
bit outage, lostAnswer;

/* Each node. */
byte step[ZONES], heardStep[ZONES], folded[ZONES], reached[ZONES];
bit fresh[ZONES] = 1;
bit closed[ZONES], heardClosed[ZONES], fact[ZONES], stop[ZONES], cut[ZONES];
mtype appended[ZONES] = EMPTY;
mtype outcome[ZONES] = EMPTY;

/* Reports in flight, by sender. */
byte sentStep[ZONES];
bit sentClosed[ZONES], sentFact[ZONES];

bit bad, decideBy;
bit rollbackUndone, stepSkipped, outcomeChanged, outcomesDiffer, doneThoughBad;

#define other(z) (1 - (z))
#define proven(z) (fresh[z] || step[z] == NO_STEP -> step[z] : step[z] - 1)
#define open(z) (outcome[z] == EMPTY)
#ifdef RAISE_ALONE
#define zonesAgree(z) true
#else
#define zonesAgree(z) (heardStep[z] >= step[z])
#endif
#ifdef DONE_ALONE
#define zonesClosed(z) true
#else
#define zonesClosed(z) heardClosed[z]
#endif
#ifdef JUDGE_AFTER_CLOSE
#define mayJudge(z) (!fact[z] && !stop[z])
#else
#define mayJudge(z) !settled(z)
#endif
#define settled(z) (fact[z] || stop[z] || closed[z])

inline check(z) {          /* what traffic sees after an action of a node: NodeMove.refresh */
  if
  :: outcome[z] == DONE -> share = LAST_STEP
  :: outcome[z] == ROLLED_BACK -> share = NO_STEP
  :: open(z) && (fact[z] || stop[z]) -> share = NO_STEP
  :: else -> share = proven(z)
  fi;
  cut[z] = cut[z] || (open(z) && (fact[z] || stop[z])) || outcome[z] == ROLLED_BACK;
  rollbackUndone = cut[z] && share > NO_STEP;
  assert(!rollbackUndone);
  reached[z] = (step[z] > reached[z] -> step[z] : reached[z]);
  stepSkipped = step[z] > reached[other(z)] + 1;
  assert(!stepSkipped);
  share = NO_STEP
}

inline fold(z) {           /* MoveRules.checkOutcome: the first outcome stands */
  if
  :: records[folded[z]] == STOP && open(z) -> stop[z] = 1
#ifdef DONE_AFTER_STOP
  :: records[folded[z]] == DONE && open(z) -> outcome[z] = DONE
#else
  :: records[folded[z]] == DONE && open(z) && !stop[z] -> outcome[z] = DONE
#endif
  :: records[folded[z]] == ROLLED_BACK && open(z) -> outcome[z] = ROLLED_BACK
#ifdef LAST_OUTCOME_STANDS
  :: records[folded[z]] != STOP && !open(z) ->
       outcomeChanged = outcome[z] != records[folded[z]];
       assert(!outcomeChanged);
       outcome[z] = records[folded[z]]
#endif
  :: else -> skip
  fi;
  folded[z]++;
  outcomesDiffer = !open(0) && !open(1) && outcome[0] != outcome[1];
  assert(!outcomesDiffer)
}

inline append(what) {      /* OutcomeSink */
  records[logEnd] = what;
  logEnd++
}

proctype MoveEngine(byte z) {
  byte share;
#ifdef SMALL
  byte lapses = 0;
#else
  byte lapses = 1;
#endif
end:
  do
  :: atomic { open(z) && (sentStep[z] != step[z] || sentClosed[z] != closed[z] ||
              sentFact[z] != fact[z]) ->            /* ZoneReport */
       sentStep[z] = step[z]; sentClosed[z] = closed[z]; sentFact[z] = fact[z] }
  :: atomic { heardStep[z] < sentStep[other(z)] || (!heardClosed[z] && sentClosed[other(z)]) ||
              (!fact[z] && sentFact[other(z)] && open(z)) ->
       heardStep[z] = (sentStep[other(z)] > heardStep[z] -> sentStep[other(z)] : heardStep[z]);
       heardClosed[z] = heardClosed[z] || sentClosed[other(z)];
       fact[z] = fact[z] || sentFact[other(z)];
       check(z) }
  :: atomic { open(z) && !settled(z) && !decideBy && step[z] < LAST_STEP &&
              zonesAgree(z) -> step[z]++; check(z) }              /* MoveAggregator.decideRaise */
  :: atomic { open(z) && fresh[z] && lapses > 0 ->  /* the grant runs out */
       lapses--; fresh[z] = 0; check(z) }
  :: atomic { open(z) && !fresh[z] -> fresh[z] = 1; check(z) }
  :: atomic { open(z) && bad && mayJudge(z) -> fact[z] = 1; check(z) }    /* VersionEvaluator: bad */
#ifndef HOLD_FOR_EVER
  :: atomic { open(z) && !settled(z) && decideBy && step[z] < LAST_STEP ->
       fact[z] = 1; check(z) }                      /* deadline reached before the last step */
#endif
  :: atomic { open(z) && !settled(z) && decideBy && step[z] == LAST_STEP && fresh[z] ->
       closed[z] = 1 }                              /* NodeMove.closed */
  :: atomic { open(z) && !outage && logEnd < RECORDS && appended[z] != ROLLED_BACK &&
              (fact[z] || stop[z]) ->
       append(ROLLED_BACK);
       appended[z] = ROLLED_BACK }
  :: atomic { open(z) && !outage && logEnd < RECORDS && appended[z] == EMPTY && !fact[z] && !stop[z] &&
              closed[z] && zonesClosed(z) ->
       append(DONE);
       if
       :: lostAnswer && logEnd < RECORDS -> lostAnswer = 0   /* appended again */
       :: appended[z] = DONE
       fi }
  :: atomic { folded[z] < logEnd && !outage -> fold(z); check(z) }
  od
}

#ifdef RESTART
proctype Restart(byte z) {      /* the node forgets all but what the log holds */
  atomic {
    step[z] = NO_STEP; heardStep[z] = NO_STEP; folded[z] = 0; closed[z] = 0; heardClosed[z] = 0;
    fact[z] = 0; stop[z] = 0; cut[z] = 0; appended[z] = EMPTY; outcome[z] = EMPTY;
    sentStep[z] = 0; sentClosed[z] = 0; sentFact[z] = 0
  }
}
#endif

proctype Environment() {
  if
  :: bad = 1
  :: skip
  fi;
  if
  :: lostAnswer = 1
  :: skip
  fi;
  if
  :: atomic { outage = 1; decideBy = 1 }; outage = 0
  :: decideBy = 1
  fi
}

proctype Operator() {
  if
  :: atomic { !outage && logEnd < 2 -> append(STOP) }
  :: skip
  fi
}

init {
  atomic {
    run MoveEngine(0); run MoveEngine(1); run Environment();
#ifndef SMALL
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
