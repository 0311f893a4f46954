/*
 * Versions of the table at two routers, of which either may restart without
 * memory, and a platform of which reads may be stale at any time.
 *
 * Transitions carry the names of pkg/chart/table.yaml.
 *
 * Properties:
 *   - the version in force at a router never falls while it runs;
 *   - a router that restarts while its peer is up and in reach does not put
 *     a lower version in force than the peer has.
 *
 * Broken variants:
 *   -DBROKEN_TRUST  a router that starts trusts its own read at once
 *   -DBROKEN_ORDER  a lower version is taken as news
 */
#define LAST 3

byte published = 1;
byte inForce[2];          /* 0: none */
byte best[2];             /* highest seen while asking */
bool up[2];
bool asked[2];            /* the peer has answered, or is known to be away */
bool cut = false;
byte restarts = 0;

inline read_platform(v) {
	/* any version ever published: the platform may be stale */
	if
	:: v = published
	:: published > 1 -> v = published - 1
	:: published > 2 -> v = published - 2
	fi
}

inline enforce(me, v) {
	assert(v >= inForce[me]);
	inForce[me] = v
}

proctype Platform() {
	do
	:: published < LAST -> published++
	:: published >= LAST -> break
	od
}

proctype Network() {
	if
	:: cut = true; cut = false
	:: skip
	fi
}

proctype Router(byte me) {
	byte v = 0;
	byte peer = 1 - me;
	do
	:: atomic { /* restart: all memory is gone */
		up[me] && restarts < 2 ->
		restarts++;
		up[me] = false;
		inForce[me] = 0;
		best[me] = 0;
		asked[me] = false
	   }
	:: atomic { !up[me] -> up[me] = true }
	/* asking: the peer's version, or that it is away */
	:: atomic { up[me] && inForce[me] == 0 && !asked[me] && up[peer] && !cut ->
		if
		:: inForce[peer] > best[me] -> best[me] = inForce[peer]
		:: else
		fi;
		asked[me] = true
	   }
	:: atomic { up[me] && inForce[me] == 0 && !asked[me] && (!up[peer] || cut) -> asked[me] = true }
	:: atomic { up[me] && inForce[me] == 0 && best[me] == 0 ->
		read_platform(v);
		best[me] = v;
#ifdef BROKEN_TRUST
		asked[me] = true;
#endif
		v = 0
	   }
	:: atomic { /* adopt-first */
		up[me] && inForce[me] == 0 && asked[me] && best[me] > 0 ->
#ifdef BROKEN_TRUST
		assert(!up[peer] || cut || best[me] >= inForce[peer]);
#endif
		enforce(me, best[me])
	   }
	:: atomic { /* adopt-newer, keep-on-older: from the platform */
		up[me] && inForce[me] > 0 ->
		read_platform(v);
		if
#ifdef BROKEN_ORDER
		:: v != inForce[me] -> enforce(me, v)
#else
		:: v > inForce[me] -> enforce(me, v)
#endif
		:: else
		fi;
		v = 0
	   }
	/* keep-on-bad, wait-on-bad: a value that cannot be read changes nothing */
	:: atomic { up[me] -> skip }
	:: atomic { /* adopt-newer: from the peer */
		up[me] && inForce[me] > 0 && up[peer] && !cut && inForce[peer] > inForce[me] ->
		enforce(me, inForce[peer])
	   }
	:: published >= LAST && inForce[0] == LAST && inForce[1] == LAST && restarts >= 2 -> break
	od
}

init {
	atomic {
		up[0] = true;
		up[1] = true;
		run Platform();
		run Network();
		run Router(0);
		run Router(1)
	}
}
