/*
 * Freshness lease: after an endpoint is taken out of service, its agent accepts new requests at most for the length of
 * the lease, counted from the commit of the command, even if the agent or its control instance is partitioned. The unit
 * of time is 250 ms; the lease is 4 units and time ends at END, to keep the state space small. Each switch removes one
 * rule:
 *   NO_LEASE    the agent accepts requests after its lease has expired
 *   NO_CONFIRM  the instance replies to probes without a quorum confirmation
 *   NO_AGE      the lease ignores the age of the quorum confirmation
 *   LATE_START  the lease starts when the reply arrives instead of when the probe was sent
 */
#define LEASE 4
#define END 12
#define NEVER 255
#ifdef NO_LEASE
#define IS_FRESH true
#else
#define IS_FRESH (now < freshUntil)
#endif

byte now;
byte takenOutAt = NEVER;     /* when the command was committed */
byte confirmedAt;            /* time of the last confirmed read index round at the instance */
bool instanceApplied;        /* the instance has applied the command */
bool agentApplied;           /* the agent has received the effect of the command */
byte probeSentAt = NEVER;    /* time of the outstanding probe */
byte replySentAt = NEVER, confirmationAge; /* reply to that probe; age of its quorum confirmation */
bool replyHasCommand;        /* the instance had applied the command when it replied */
byte freshUntil;             /* end of the lease */

init {
	do
	:: atomic { now < END -> now++ }
	:: atomic { takenOutAt == NEVER -> takenOutAt = now }
	/* A read index round covers every entry committed when it starts; a partitioned instance completes none. */
	:: atomic { confirmedAt != now -> confirmedAt = now; instanceApplied = (takenOutAt != NEVER) }
	:: atomic { probeSentAt == NEVER -> probeSentAt = now }
	:: atomic { probeSentAt != NEVER && replySentAt == NEVER -> replySentAt = now;
#ifdef NO_CONFIRM
		confirmationAge = 0;
#else
		confirmationAge = now - confirmedAt;
#endif
		replyHasCommand = instanceApplied }
	:: atomic { replySentAt != NEVER ->
		agentApplied = agentApplied || replyHasCommand;
#ifdef LATE_START
		probeSentAt = now;
#endif
#ifdef NO_AGE
		confirmationAge = 0;
#endif
		if
		:: probeSentAt + LEASE >= confirmationAge + freshUntil -> freshUntil = probeSentAt + LEASE - confirmationAge
		:: else
		fi;
		probeSentAt = NEVER; replySentAt = NEVER; confirmationAge = 0; replyHasCommand = false }
	/* A request arrives at the agent. */
	:: atomic { !agentApplied && IS_FRESH -> assert(takenOutAt == NEVER || now <= takenOutAt + LEASE) }
	od
}
