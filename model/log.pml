/*
 * Replicated log of the control group: log agreement, replacement of a replica with an emptied disk, and the first
 * voters of an open fleet.
 *
 * The first FOUNDERS slots found the group, the last one is the new identity of the replica whose disk is emptied.
 * Steps between two replicas are atomic; lost and late messages are steps that happen late or never. PROMOTE_FIRST
 * replaces as open fleets do, which promote the successor before they remove the lost voter. LONE founds with slot 0
 * alone, which promotes the others in one change. LAG lets a leader send entries before it has stored them.
 * A switch removes a rule:
 *   NO_LOG_CHECK   a vote does not ask whether the log of the candidate is up to date
 *   NO_SYNC        an entry is acknowledged before it is durable
 *   OLD_IDENTITY   an emptied disk comes back under its old identity
 *   TWO_CHANGES    a membership change need not wait for the one before it
 *   OLD_TERM       a leader counts replicas for entries of an earlier term
 *   EARLY_SEND     a lone voter sends the promotion of the others before it has stored it
 *   HALF           half of the voters are a quorum
 *   EARLY_COUNT    a leader counts itself for entries that it has not stored
 *
 * With FIXED no disk is emptied, which leaves room for more terms.
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
#define N (FOUNDERS + 1)
#define NEW (1 << FOUNDERS)
#define ALL (NEW - 1)
#ifdef LONE
#define INITIAL 1
#else
#define INITIAL ALL
#endif
#define COMMAND 0
#define REMOVE 1
#define PROMOTE 2
#define FORM 3
#define TERM(e) ((e) & 7)
#define KIND(e) ((e) >> 3)
#define LOG(i, k) ent[(i) * LEN + (k)]
#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
#define LEADER 2
#define LASTTERM(r) TERM(LOG(r, cnt[r] - 1))
#ifdef NO_LOG_CHECK
#define UP_TO_DATE true
#else
#define UP_TO_DATE (cnt[j] == 0 || (cnt[i] > 0 && (LASTTERM(i) > LASTTERM(j) || (LASTTERM(i) == LASTTERM(j) && cnt[i] >= cnt[j]))))
#endif
#ifdef OLD_TERM
#define OF_THIS_TERM true
#else
#define OF_THIS_TERM (TERM(LOG(i, p - 1)) == term[i])
#endif
#ifdef HALF
#define QUORUM(n, of) ((n) * 2 >= (of))
#else
#define QUORUM(n, of) ((n) * 2 > (of))
#endif
#ifdef EARLY_COUNT
#define OWN cnt[i]
#else
#define OWN durable[i]
#endif
#define UP(r) ((r) != wiped && ((r) < FOUNDERS || wiped < N))

byte term[N], vote[N], role[N], votes[N], cnt[N], durable[N];
byte ent[N * LEN];
byte match[N * N];
byte known[N]; /* the commit index of a leader */
byte committed[LEN], byTerm[LEN], clen; /* byTerm: term of the leader that committed it first */
byte wiped = N; /* the slot whose disk was emptied */

hidden byte i, j, k, p, voting, n, prev, best;

/* Sets voting to the voters in the first upto entries of a log. */
inline voters(r, upto) {
	voting = INITIAL; prev = INITIAL; k = 0;
	do
	:: k < upto ->
		if
		:: KIND(LOG(r, k)) == REMOVE -> prev = voting; voting = voting & (ALL + NEW - (1 << wiped))
		:: KIND(LOG(r, k)) == PROMOTE -> prev = voting; voting = voting | NEW
		:: KIND(LOG(r, k)) == FORM -> prev = voting; voting = ALL
		:: else
		fi;
		k++
	:: else -> break
	od
}

inline clearmatch(r) {
	known[r] = 0; match[r * N] = 0; match[r * N + 1] = 0; match[r * N + 2] = 0; match[r * N + 3] = 0;
	match[r * N + N - 1] = 0
}

inline adopt(r, t) {
	if
	:: term[r] < t -> term[r] = t; vote[r] = 0; role[r] = 0; votes[r] = 0; clearmatch(r)
	:: else
	fi
}

inline store(r, e) {
	LOG(r, cnt[r]) = e; cnt[r]++;
#ifndef NO_SYNC
	durable[r] = cnt[r]
#endif
}

/* A leader stores what it proposes while it sends it. */
inline lead(r, e) {
	LOG(r, cnt[r]) = e; cnt[r]++;
#ifndef NO_SYNC
#ifndef LAG
	durable[r] = cnt[r]
#endif
#endif
}

inline zero(r, from) {
	k = from;
	do
	:: k < cnt[r] -> LOG(r, k) = 0; k++
	:: else -> break
	od;
	cnt[r] = from;
	if
	:: durable[r] > from -> durable[r] = from
	:: else
	fi
}

inline campaign() {
	term[i] < TERMS && role[i] != LEADER;
	voters(i, cnt[i]);
	((voting | prev) & (1 << i)) != 0;
	term[i]++; vote[i] = i + 1; role[i] = 1; votes[i] = 1 << i
}

inline requestvote() {
	role[i] == 1 && i != j && term[j] <= term[i] && (votes[i] & (1 << j)) == 0;
	adopt(j, term[i]);
	if
	:: (vote[j] == 0 || vote[j] == i + 1) && UP_TO_DATE -> vote[j] = i + 1; votes[i] = votes[i] | (1 << j)
	:: else
	fi
}

inline win() {
	role[i] == 1;
	voters(i, cnt[i]);
	QUORUM(BITS(votes[i] & voting), BITS(voting));
	role[i] = LEADER; votes[i] = 0;
	clearmatch(i);
	/* A new leader holds everything that was committed in earlier terms. */
	k = 0;
	do
	:: k < clen -> assert(byTerm[k] >= term[i] || (k < cnt[i] && LOG(i, k) == committed[k])); k++
	:: else -> break
	od;
	if
	:: cnt[i] < LEN -> lead(i, term[i])
	:: else
	fi
}

inline propose() {
	role[i] == LEADER && cnt[i] < LEN && cnt[i] > 0;
	if
	:: lead(i, term[i])
#ifdef LONE
	:: wiped >= N ->
#else
	:: wiped < N ->
#endif
		voters(i, cnt[i]);
		/* One change at a time, and only after an entry of the own term is committed. */
#ifndef TWO_CHANGES
		best = 0; k = 0;
		do
		:: k < cnt[i] ->
			if
			:: KIND(LOG(i, k)) != COMMAND && k >= known[i] -> best = 1
			:: else
			fi;
			k++
		:: else -> break
		od;
		best == 0 && known[i] > 0;
#endif
		if
#ifdef LONE
		:: voting == 1 -> lead(i, term[i] + 8 * FORM)
#else
#ifdef PROMOTE_FIRST
		:: (voting & (1 << wiped)) != 0 && (voting & NEW) != 0 -> lead(i, term[i] + 8 * REMOVE)
		:: (voting & (1 << wiped)) != 0 && (voting & NEW) == 0 -> lead(i, term[i] + 8 * PROMOTE)
#else
		:: (voting & (1 << wiped)) != 0 -> lead(i, term[i] + 8 * REMOVE)
		:: (voting & (1 << wiped)) == 0 && (voting & NEW) == 0 -> lead(i, term[i] + 8 * PROMOTE)
#endif
#endif
		fi
	fi
}

inline append() {
	role[i] == LEADER && i != j && term[j] <= term[i];
	n = cnt[i];
#ifdef LAG
#ifndef EARLY_SEND
	voters(i, durable[i]);
	if
	:: voting == (1 << i) -> n = durable[i]
	:: else
	fi;
#endif
#endif
	match[i * N + j] < n;
	adopt(j, term[i]);
	role[j] = 0;
	p = 0;
	do
	:: p < n && p < cnt[j] && LOG(i, p) == LOG(j, p) -> p++
	:: else -> break
	od;
	if
	:: p < n ->
		if
		:: p < cnt[j] -> zero(j, p)
		:: else
		fi;
		store(j, LOG(i, p));
		match[i * N + j] = p + 1
	:: else -> match[i * N + j] = p
	fi;
#ifdef LAG
	durable[j] = cnt[j]
#endif
}

inline commit() {
	role[i] == LEADER;
	voters(i, cnt[i]);
	best = 0; p = 1;
	do
	:: p <= cnt[i] ->
		n = 0; k = 0;
		do
		:: k < N ->
			if
			:: (voting & (1 << k)) != 0 && ((k == i && OWN >= p) || match[i * N + k] >= p) -> n++
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: QUORUM(n, BITS(voting)) && OF_THIS_TERM -> best = p
		:: else
		fi;
		p++
	:: else -> break
	od;
	best > known[i];
	known[i] = best;
	k = 0;
	do
	:: k < best ->
		if
		:: k < clen -> assert(committed[k] == LOG(i, k))
		:: else -> committed[k] = LOG(i, k); byTerm[k] = term[i]; clen = k + 1
		fi;
		k++
	:: else -> break
	od
}

inline crash() {
	(role[i] != 0 || durable[i] != cnt[i]);
#ifdef NO_SYNC
	zero(i, durable[i]);
#endif
#ifdef LAG
	zero(i, durable[i]);
#endif
	role[i] = 0; votes[i] = 0; clearmatch(i)
}

inline wipe() {
	wiped == N && i < FOUNDERS;
#ifdef OLD_IDENTITY
	zero(i, 0); term[i] = 0; vote[i] = 0; role[i] = 0; votes[i] = 0; clearmatch(i);
	wiped = N + 1
#else
	zero(i, 0); term[i] = 0; vote[i] = 0; role[i] = 0; votes[i] = 0; clearmatch(i);
	wiped = i
#endif
}

init {
	do
	:: atomic {
		select(i : 0 .. (N - 1)); select(j : 0 .. (N - 1));
		UP(i) && UP(j);
		if
#ifndef FIXED
		:: i == j && i < FOUNDERS -> wipe()
#endif
		:: i == j -> campaign()
		:: i == j -> win()
		:: i == j -> propose()
		:: i == j -> commit()
		:: i == j -> crash()
#ifdef LAG
		:: i == j && durable[i] < cnt[i] -> durable[i] = cnt[i]
#endif
#ifdef NO_SYNC
		:: i == j && durable[i] < cnt[i] -> durable[i] = cnt[i]
#endif
		:: requestvote()
		:: append()
		fi;
		i = 0; j = 0; k = 0; p = 0; voting = 0; n = 0; prev = 0; best = 0
	}
	od
}
