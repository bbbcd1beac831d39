/*
 * Claim of an operation that is not idempotent: the operation runs at most once. Run messages may be delayed and
 * duplicated. Each switch removes one rule:
 *   NO_CLAIM        a router moves the operation to another endpoint without a grant by control
 *   NO_DEDUP        the agent runs each run message instead of joining the run of the same generation
 *   NO_REMEMBER     the agent does not record that it answered "not run" for a generation
 *   NO_INCARNATION  a restarted agent accepts run messages for its earlier incarnation
 *   RERUN_UNKNOWN   control grants the next generation although the endpoint was lost during the run
 */
#define MAX_GEN 3
#define RUNNING 1
#define DONE 2
#define UNKNOWN 3
#define BIT(g) (1 << (g))

byte state, gen;      /* the claim in the replicated log: state (0 if unclaimed) and generation */
byte endpoint[4], grantIncarnation[4]; /* endpoint and its incarnation, for each generation */
byte runSent, notRun; /* sets of generations: run message sent, answered "not run" */
/* For each agent: its incarnation and the sets of generations started and refused, which a restart clears. */
byte incarnation[2], started[2], refused[2];
byte runCount; /* of the operation, at all agents */

inline grant(e) { gen++; endpoint[gen] = e; grantIncarnation[gen] = incarnation[e]; state = RUNNING }

inline handleRun(g) {
	(runSent & BIT(g)) != 0;
	if
#ifndef NO_INCARNATION
	/* The agent refuses, but can't answer "not run", because its earlier incarnation may have run the operation. */
	:: incarnation[endpoint[g]] != grantIncarnation[g] -> skip
	:: incarnation[endpoint[g]] == grantIncarnation[g] ->
#else
	:: true ->
#endif
		if
		:: (refused[endpoint[g]] & BIT(g)) != 0 -> notRun = notRun | BIT(g)
		:: (refused[endpoint[g]] & BIT(g)) == 0 ->
			if
#ifndef NO_DEDUP
			:: (started[endpoint[g]] & BIT(g)) != 0 -> skip
#endif
#ifdef NO_DEDUP
			:: true -> runCount++; started[endpoint[g]] = started[endpoint[g]] | BIT(g)
#else
			:: (started[endpoint[g]] & BIT(g)) == 0 -> runCount++; started[endpoint[g]] = started[endpoint[g]] | BIT(g)
#endif
			:: (started[endpoint[g]] & BIT(g)) == 0 -> notRun = notRun | BIT(g);
#ifndef NO_REMEMBER
				refused[endpoint[g]] = refused[endpoint[g]] | BIT(g)
#endif
			fi
		fi
	fi;
	assert(runCount <= 1)
}

init {
	byte e, g;
	do
	:: atomic { state == 0 -> select(e : 0 .. 1); grant(e) }
	:: atomic { state == RUNNING -> runSent = runSent | BIT(gen) }
	:: atomic { select(g : 1 .. MAX_GEN); handleRun(g); g = 0 }
	:: atomic { state == RUNNING && (notRun & BIT(gen)) != 0 && gen < MAX_GEN -> e = 1 - endpoint[gen]; grant(e) }
	:: atomic { state == RUNNING && (started[endpoint[gen]] & BIT(gen)) != 0 -> state = DONE }
	:: atomic { select(e : 0 .. 1); incarnation[e] < 2 -> incarnation[e]++; started[e] = 0; refused[e] = 0 }
	:: atomic { state == RUNNING && grantIncarnation[gen] != incarnation[endpoint[gen]] ->
#ifdef RERUN_UNKNOWN
		if
		:: gen < MAX_GEN -> e = 1 - endpoint[gen]; grant(e)
		:: else -> state = UNKNOWN
		fi
#else
		state = UNKNOWN
#endif
	}
#ifdef NO_CLAIM
	:: atomic { state == RUNNING && gen < MAX_GEN -> e = 1 - endpoint[gen]; grant(e) }
#endif
	od
}
