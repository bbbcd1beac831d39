/*
 * End of a rollout: when it is completed, no router sends requests to the former version any more, although the leader
 * changes and routers learn of states late; a rollout ends once. Two leaders may commit at the same time, and orders are
 * sent again. MOVING at a router stands for the move of its last route, for whose delay the leader waits after the report.
 * Each switch removes one rule:
 *   NO_ACK    the leader does not wait for the routers to report the state with the move
 *   NO_EMPTY  the leader does not wait for the requests at the former version
 *   NO_PHASE  a phase is applied although a later one is
 */
#define ROUTERS 2
#define TRYING 1
#define MOVING 2
#define COMPLETED 3
#define ROLLED_BACK 4

byte phase = TRYING;          /* committed */
byte known[ROUTERS] = TRYING; /* phase in force at a router */
byte acked[ROUTERS] = TRYING; /* phase that a router has reported last */
bool running[ROUTERS];        /* a request of the router runs at the former version */
bool busy[ROUTERS];           /* as the router has reported last */
byte proposed[2];             /* by a leader and by a former one that does not know yet; 0 without a proposal */
bool ended;

#ifdef NO_ACK
#define ALL_ACKED true
#else
#define ALL_ACKED (acked[0] >= MOVING && acked[1] >= MOVING)
#endif
#ifdef NO_EMPTY
#define NONE_BUSY true
#else
#define NONE_BUSY (!busy[0] && !busy[1])
#endif

inline apply(p) {
#ifdef NO_PHASE
	phase = p;
#else
	if
	:: phase < COMPLETED && p > phase -> phase = p
	:: else
	fi;
#endif
	assert(!ended || phase >= COMPLETED);
	ended = ended || phase >= COMPLETED;
	assert(phase != COMPLETED || (!running[0] && !running[1]))
}

active [ROUTERS] proctype router() {
	do
	:: atomic { known[_pid] != phase -> known[_pid] = phase }
	:: atomic { known[_pid] == TRYING && !running[_pid] ->
		/* The former endpoints are stopped at the end. */
		assert(phase != COMPLETED);
		running[_pid] = true }
	:: atomic { running[_pid] -> running[_pid] = false }
	/* A report tells the state in force and the requests in flight together: the leader waits longer than these are
	 * apart in the implementation. */
	:: atomic { acked[_pid] != known[_pid] || busy[_pid] != running[_pid] ->
		acked[_pid] = known[_pid]; busy[_pid] = running[_pid] }
	od
}

active [2] proctype leader() {
	byte seen = TRYING;
	byte self = _pid - ROUTERS;
	do
	:: atomic { seen != phase -> seen = phase }
	:: atomic { proposed[self] == 0 && seen == TRYING -> proposed[self] = MOVING }
	:: atomic { proposed[self] == 0 && seen < COMPLETED -> proposed[self] = ROLLED_BACK }
	:: atomic { proposed[self] == 0 && seen == MOVING && ALL_ACKED && NONE_BUSY -> proposed[self] = COMPLETED }
	:: atomic { proposed[self] != 0 -> apply(proposed[self]); proposed[self] = 0 }
	od
}
