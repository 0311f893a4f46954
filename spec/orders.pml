/*
 * Fenced orders. The platform's list has revisions; the owner of orders is a
 * function of the revision, and the revision is the fence. Two routers read
 * the list at different times, may be paused before an order arrives, and
 * orders may arrive late and twice.
 *
 * Properties:
 *   - a backend server that checks fences never obeys a lower revision after
 *     a higher one;
 *   - for one revision, only one router gives orders.
 *
 * Broken variants:
 *   -DBROKEN_FENCE  the backend server does not compare
 *   -DBROKEN_OWNER  a router orders by its heartbeats, not by the revision
 */
#define LAST 3

byte revision = 1;
byte seen[2];
byte obeyed = 0;
byte orderedBy[4];        /* 0: nobody, else router + 1, by revision */
chan wire = [2] of { byte, byte };   /* router, revision */

proctype Platform() {
	do
	:: revision < LAST -> revision++
	:: revision >= LAST -> break
	od
}

proctype Router(byte me) {
	byte tries = 0;
	do
	:: tries < 3 -> tries++;
		atomic { seen[me] = revision };
		/* owner(revision) = revision mod 2 */
		if
#ifdef BROKEN_OWNER
		:: true -> wire!me,seen[me]
#else
		:: seen[me] % 2 == me -> wire!me,seen[me]
#endif
		:: true -> skip
		fi
	:: tries >= 3 -> break
	od
}

proctype Backend() {
	byte from;
	byte rev;
	end:
	do
	:: atomic { wire?from,rev ->
		assert(orderedBy[rev] == 0 || orderedBy[rev] == from + 1);
		orderedBy[rev] = from + 1;
		if
#ifdef BROKEN_FENCE
		:: true -> assert(rev >= obeyed); obeyed = rev
#else
		:: rev >= obeyed -> assert(rev >= obeyed); obeyed = rev
#endif
		:: else
		fi;
		from = 0; rev = 0
	   }
	od
}

init {
	atomic { run Platform(); run Router(0); run Router(1); run Backend() }
}
