/*
 * Bundle updates at two processes: no process returns to a lower version, and a version has the same content at every
 * process. Updates may be delayed, reordered and duplicated, because instances may lag. Each switch removes one rule:
 *   NO_MONOTONIC  a process applies every update that it receives
 *   NO_CONFLICT   an existing version may be stored again with different content
 *   NO_ORDER      a version below the one in force may be rolled out
 */
#define VERSIONS 3

byte content[4];      /* content of each version in the log; 0 if not stored */
byte inForce;         /* version in force in the log */
byte updates;         /* set of updates sent: bit 2 * (version - 1) + content - 1 */
byte processVersion[2], processContent[2]; /* applied by each process */
byte highestInForce;  /* highest version ever in force */

init {
	byte v, c, p;
	do
	:: atomic { select(v : 1 .. VERSIONS); select(c : 1 .. 2);
		if
		:: content[v] == 0 -> content[v] = c
#ifdef NO_CONFLICT
		:: content[v] != 0 -> content[v] = c
#endif
		fi }
	:: atomic { select(v : 1 .. VERSIONS);
#ifdef NO_ORDER
		content[v] != 0;
#else
		content[v] != 0 && v >= inForce;
#endif
		inForce = v;
		assert(inForce >= highestInForce);
		highestInForce = inForce;
		updates = updates | (1 << (2 * v + content[v] - 1 - 2)) }
	:: atomic { select(v : 1 .. VERSIONS); select(c : 1 .. 2); select(p : 0 .. 1);
		(updates & (1 << (2 * v + c - 1 - 2))) != 0;
#ifndef NO_MONOTONIC
		v > processVersion[p];
#endif
		assert(v >= processVersion[p]);
		processVersion[p] = v; processContent[p] = c;
		assert(processVersion[0] != processVersion[1] || processContent[0] == processContent[1]) }
	od
}
