/*
 * Replicated log of the control group: log agreement, replacement of a replica whose disk was wiped, and the promotion
 * of the first voters of a fleet without agents.
 *
 * Replicas 0 to FOUNDERS - 1 form the initial group; replica FOUNDERS is the new identity of the replica whose disk is
 * wiped. An exchange between two replicas is one atomic step; a lost or delayed message is a step that is never taken
 * or taken later. These switches select a variant:
 *   PROMOTE_FIRST  as in fleets without agents, the replacement is promoted before the lost voter is removed
 *   LONE           replica 0 is the only initial voter and promotes the others in one change
 *   LAG            a leader may send entries that it has not synced yet
 *   FIXED          no disk is wiped, which allows a higher bound on terms
 * Each of these switches removes one rule:
 *   NO_LOG_CHECK   a replica votes for a candidate whose log is not up to date
 *   NO_SYNC        an entry is acknowledged before it is synced
 *   OLD_IDENTITY   a replica with a wiped disk returns under its old identity
 *   TWO_CHANGES    a membership change may start before the previous one is committed
 *   OLD_TERM       a leader commits entries of earlier terms by counting replicas
 *   EARLY_SEND     a lone voter sends the promotion of the others before it has synced it
 *   HALF           half of the voters form a quorum
 *   EARLY_COUNT    a leader counts itself for entries that it has not synced
 */
#ifndef TERMS
#define TERMS 2
#endif
#ifndef LEN
#define LEN 3
#endif
#ifndef FOUNDERS
#define FOUNDERS 3
#endif
#define N (FOUNDERS + 1) /* replicas */
/* Sets of replicas have bit 1 << r for replica r. */
#define REPLACEMENT_SET (1 << FOUNDERS)
#define FOUNDER_SET (REPLACEMENT_SET - 1)
#ifdef LONE
#define INITIAL_SET 1
#else
#define INITIAL_SET FOUNDER_SET
#endif
/* Kinds of log entries; PROMOTE promotes the replacement, PROMOTE_ALL all founders. */
#define COMMAND 0
#define REMOVE 1
#define PROMOTE 2
#define PROMOTE_ALL 3
/* An entry is 8 * kind + term. */
#define TERM(e) ((e) & 7)
#define KIND(e) ((e) >> 3)
#define LOG(i, k) entries[(i) * LEN + (k)]
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
#define LEADER 2
#define LAST_TERM(r) TERM(LOG(r, logLength[r] - 1))
/* The log of candidate i is at least as up to date as that of voter j. */
#ifdef NO_LOG_CHECK
#define UP_TO_DATE true
#else
#define UP_TO_DATE (logLength[j] == 0 || (logLength[i] > 0 && (LAST_TERM(i) > LAST_TERM(j) || \
	(LAST_TERM(i) == LAST_TERM(j) && logLength[i] >= logLength[j]))))
#endif
#ifdef OLD_TERM
#define IN_CURRENT_TERM true
#else
#define IN_CURRENT_TERM (TERM(LOG(i, p - 1)) == term[i])
#endif
#ifdef HALF
#define IS_QUORUM(n, total) ((n) * 2 >= (total))
#else
#define IS_QUORUM(n, total) ((n) * 2 > (total))
#endif
#ifdef EARLY_COUNT
#define LEADER_MATCH logLength[i]
#else
#define LEADER_MATCH synced[i]
#endif
/* A founder with its disk, or the replacement of a wiped one. */
#define IS_ACTIVE(r) ((r) != wiped && ((r) < FOUNDERS || wiped < N))

/*
 * vote is 1 + the candidate, 0 for none; role is 0 (follower), 1 (candidate) or LEADER; votes is the set of replicas
 * that granted their vote; synced is the number of synced entries.
 */
byte term[N], vote[N], role[N], votes[N], logLength[N], synced[N];
byte entries[N * LEN];
byte match[N * N];   /* match[i * N + j]: entries of leader i that replica j has acknowledged */
byte commitIndex[N]; /* known to a leader; 0 at other replicas */
/* The committed entries of the group, and the term of the leader that committed each first. */
byte committed[LEN], committedInTerm[LEN], committedLength;
byte wiped = N; /* the replica whose disk was wiped; N if none, N + 1 if it keeps its identity */

/* The acting replica i, its peer j and temporary variables, which are reset after each step. */
hidden byte i, j, k, p, voterSet, n, previousVoterSet, result;

/* Sets voterSet and previousVoterSet to the last two voter sets in the first length entries of a log. */
inline computeVoters(r, length) {
	voterSet = INITIAL_SET; previousVoterSet = INITIAL_SET; k = 0;
	do
	:: k < length ->
		if
		:: KIND(LOG(r, k)) == REMOVE -> previousVoterSet = voterSet;
			voterSet = voterSet & (FOUNDER_SET + REPLACEMENT_SET - (1 << wiped))
		:: KIND(LOG(r, k)) == PROMOTE -> previousVoterSet = voterSet; voterSet = voterSet | REPLACEMENT_SET
		:: KIND(LOG(r, k)) == PROMOTE_ALL -> previousVoterSet = voterSet; voterSet = FOUNDER_SET
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline resetLeaderState(r) {
	commitIndex[r] = 0; match[r * N] = 0; match[r * N + 1] = 0; match[r * N + 2] = 0; match[r * N + 3] = 0;
	match[r * N + N - 1] = 0
}

inline advanceTerm(r, t) {
	if
	:: term[r] < t -> term[r] = t; vote[r] = 0; role[r] = 0; votes[r] = 0; resetLeaderState(r)
	:: else
	fi
}

inline appendEntry(r, e) {
	LOG(r, logLength[r]) = e; logLength[r]++;
#ifndef NO_SYNC
	synced[r] = logLength[r]
#endif
}

/* A leader sends its entries while it syncs them; with LAG the sync is a step of its own. */
inline appendAsLeader(r, e) {
	LOG(r, logLength[r]) = e; logLength[r]++;
#ifndef NO_SYNC
#ifndef LAG
	synced[r] = logLength[r]
#endif
#endif
}

inline truncate(r, length) {
	k = length;
	do
	:: k < logLength[r] -> LOG(r, k) = 0; k++
	:: else -> break
	od;
	logLength[r] = length;
	if
	:: synced[r] > length -> synced[r] = length
	:: else
	fi
}

inline campaign() {
	term[i] < TERMS && role[i] != LEADER;
	computeVoters(i, logLength[i]);
	((voterSet | previousVoterSet) & (1 << i)) != 0;
	term[i]++; vote[i] = i + 1; role[i] = 1; votes[i] = 1 << i
}

inline requestVote() {
	role[i] == 1 && i != j && term[j] <= term[i] && (votes[i] & (1 << j)) == 0;
	advanceTerm(j, term[i]);
	if
	:: (vote[j] == 0 || vote[j] == i + 1) && UP_TO_DATE -> vote[j] = i + 1; votes[i] = votes[i] | (1 << j)
	:: else
	fi
}

inline becomeLeader() {
	role[i] == 1;
	computeVoters(i, logLength[i]);
	IS_QUORUM(COUNT(votes[i] & voterSet), COUNT(voterSet));
	role[i] = LEADER; votes[i] = 0;
	resetLeaderState(i);
	/* Leader completeness: a new leader has every entry that was committed in an earlier term. */
	k = 0;
	do
	:: k < committedLength -> assert(committedInTerm[k] >= term[i] || (k < logLength[i] && LOG(i, k) == committed[k])); k++
	:: else -> break
	od;
	if
	:: logLength[i] < LEN -> appendAsLeader(i, term[i])
	:: else
	fi
}

inline propose() {
	role[i] == LEADER && logLength[i] < LEN && logLength[i] > 0;
	if
	:: appendAsLeader(i, term[i])
#ifdef LONE
	:: wiped >= N ->
#else
	:: wiped < N ->
#endif
		computeVoters(i, logLength[i]);
		/* One change at a time, and only after the leader has committed an entry; result is 1 if one is pending. */
#ifndef TWO_CHANGES
		result = 0; k = 0;
		do
		:: k < logLength[i] ->
			if
			:: KIND(LOG(i, k)) != COMMAND && k >= commitIndex[i] -> result = 1
			:: else
			fi;
			k++
		:: else -> break
		od;
		result == 0 && commitIndex[i] > 0;
#endif
		if
#ifdef LONE
		:: voterSet == 1 -> appendAsLeader(i, term[i] + 8 * PROMOTE_ALL)
#else
#ifdef PROMOTE_FIRST
		:: (voterSet & (1 << wiped)) != 0 && (voterSet & REPLACEMENT_SET) != 0 -> appendAsLeader(i, term[i] + 8 * REMOVE)
		:: (voterSet & (1 << wiped)) != 0 && (voterSet & REPLACEMENT_SET) == 0 -> appendAsLeader(i, term[i] + 8 * PROMOTE)
#else
		:: (voterSet & (1 << wiped)) != 0 -> appendAsLeader(i, term[i] + 8 * REMOVE)
		:: (voterSet & (1 << wiped)) == 0 && (voterSet & REPLACEMENT_SET) == 0 -> appendAsLeader(i, term[i] + 8 * PROMOTE)
#endif
#endif
		fi
	fi
}

inline sendAppend() {
	role[i] == LEADER && i != j && term[j] <= term[i];
	n = logLength[i];
#ifdef LAG
#ifndef EARLY_SEND
	computeVoters(i, synced[i]);
	if
	:: voterSet == (1 << i) -> n = synced[i]
	:: else
	fi;
#endif
#endif
	match[i * N + j] < n;
	advanceTerm(j, term[i]);
	role[j] = 0;
	p = 0;
	do
	:: p < n && p < logLength[j] && LOG(i, p) == LOG(j, p) -> p++
	:: else -> break
	od;
	if
	:: p < n ->
		if
		:: p < logLength[j] -> truncate(j, p)
		:: else
		fi;
		appendEntry(j, LOG(i, p));
		match[i * N + j] = p + 1
	:: else -> match[i * N + j] = p
	fi;
#ifdef LAG
	synced[j] = logLength[j]
#endif
}

inline advanceCommit() {
	role[i] == LEADER;
	computeVoters(i, logLength[i]);
	/* result is the new commit index. */
	result = 0; p = 1;
	do
	:: p <= logLength[i] ->
		n = 0; k = 0;
		do
		:: k < N ->
			if
			:: (voterSet & (1 << k)) != 0 && ((k == i && LEADER_MATCH >= p) || match[i * N + k] >= p) -> n++
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: IS_QUORUM(n, COUNT(voterSet)) && IN_CURRENT_TERM -> result = p
		:: else
		fi;
		p++
	:: else -> break
	od;
	result > commitIndex[i];
	commitIndex[i] = result;
	k = 0;
	do
	:: k < result ->
		if
		:: k < committedLength -> assert(committed[k] == LOG(i, k))
		:: else -> committed[k] = LOG(i, k); committedInTerm[k] = term[i]; committedLength = k + 1
		fi;
		k++
	:: else -> break
	od
}

inline crash() {
	(role[i] != 0 || synced[i] != logLength[i]);
#ifdef NO_SYNC
	truncate(i, synced[i]);
#endif
#ifdef LAG
	truncate(i, synced[i]);
#endif
	role[i] = 0; votes[i] = 0; resetLeaderState(i)
}

inline wipeDisk() {
	wiped == N && i < FOUNDERS;
#ifdef OLD_IDENTITY
	truncate(i, 0); term[i] = 0; vote[i] = 0; role[i] = 0; votes[i] = 0; resetLeaderState(i);
	wiped = N + 1
#else
	truncate(i, 0); term[i] = 0; vote[i] = 0; role[i] = 0; votes[i] = 0; resetLeaderState(i);
	wiped = i
#endif
}

init {
	do
	:: atomic {
		select(i : 0 .. (N - 1)); select(j : 0 .. (N - 1));
		IS_ACTIVE(i) && IS_ACTIVE(j);
		if
#ifndef FIXED
		:: i == j && i < FOUNDERS -> wipeDisk()
#endif
		:: i == j -> campaign()
		:: i == j -> becomeLeader()
		:: i == j -> propose()
		:: i == j -> advanceCommit()
		:: i == j -> crash()
#ifdef LAG
		:: i == j && synced[i] < logLength[i] -> synced[i] = logLength[i]
#endif
#ifdef NO_SYNC
		:: i == j && synced[i] < logLength[i] -> synced[i] = logLength[i]
#endif
		:: requestVote()
		:: sendAppend()
		fi;
		i = 0; j = 0; k = 0; p = 0; voterSet = 0; n = 0; previousVoterSet = 0; result = 0
	}
	od
}
