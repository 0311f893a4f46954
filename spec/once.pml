/*
 * One idempotency key, used by two requests through two routers, and its
 * three homes. A home may restart without memory at any time; any message may
 * be lost or late, which is a home that is not asked or not heard.
 *
 * Property: at most one of the two requests is granted.
 *
 * Broken variants:
 *   -DBROKEN_COVER  a home without memory of the past counts as one with it
 *   -DBROKEN_MOST   one home is enough
 */
#define HOMES 3
#ifdef BROKEN_MOST
#define NEEDED 1
#else
#define NEEDED 2
#endif
#ifdef BROKEN_COVER
#define vouches(h) true
#else
#define vouches(h) covers[h]
#endif

bool used[HOMES];
byte by[HOMES];
bool covers[HOMES];       /* has been a home since before the first use */

bool granted[2];

proctype Restart(byte h) {
	if
	:: atomic { used[h] = false; by[h] = 0; covers[h] = false }
	:: true
	fi
}

proctype Request(byte me) {
	byte h = 0;
	byte yes = 0;
	bool taken = false;
	do
	:: h < HOMES ->
		if
		:: atomic { !used[h] || by[h] == me ->
			used[h] = true;
			by[h] = me;
			/* the answer may be lost on its way back */
			if
			:: vouches(h) -> yes++
			:: true
			fi
		   }
		:: atomic { used[h] && by[h] != me ->
			if
			:: taken = true
			:: true
			fi
		   }
		:: true /* the claim is lost */
		fi;
		h++
	:: h >= HOMES -> break
	od;
	if
	:: yes >= NEEDED && !taken -> granted[me] = true
	:: else
	fi;
	assert(!(granted[0] && granted[1]));
	/* a request that was not granted takes its claims back */
	if
	:: !granted[me] ->
		h = 0;
		do
		:: h < HOMES ->
			if
			:: atomic { used[h] && by[h] == me -> used[h] = false; by[h] = 0 }
			:: true
			fi;
			h++
		:: h >= HOMES -> break
		od
	:: else
	fi
}

init {
	atomic {
		covers[0] = true; covers[1] = true; covers[2] = true;
		run Restart(0);
		run Restart(1);
		run Restart(2);
		run Request(0);
		run Request(1)
	}
}
