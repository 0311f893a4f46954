/*
 * One idempotency key, used by two requests through two routers. Its homes
 * are the first two live members of a zone of three. A member may restart
 * without memory; the members' views change one by one, in any order.
 *
 * Property: at most one of the two requests is granted.
 *
 * Broken variants:
 *   -DBROKEN_COVER   a home without memory of the past grants all the same
 *   -DBROKEN_SECOND  the first home grants before the second has recorded
 *   -DBROKEN_MOST    a home that reaches a minority decides alone
 */
#define N 3

typedef Member {
	bool up;
	bool used;        /* remembers the key's use */
	byte by;          /* by which request */
	bool covers;      /* has been a home since before the key's first use */
	byte live;        /* bit set of the members it believes live */
}
Member m[N];
bool grantedTo[2];
byte restarts = 0;
bool split = false;       /* member 0 is cut off from the other two */
bool splits = true;       /* it may still happen */

#define joined(a, b) ((a) == (b) || !split || ((a) != 0 && (b) != 0))
#define sees(a, b) ((m[a].live >> (b)) & 1)
#define size(a) (sees(a, 0) + sees(a, 1) + sees(a, 2))

/* the first home is the lowest live member of its own view */
#define first(a) ((a) == 0 || ((a) == 1 && !sees(1, 0)) || ((a) == 2 && !sees(2, 0) && !sees(2, 1)))
#ifdef BROKEN_MOST
#define reaches_most(a) true
#else
#define reaches_most(a) (2 * size(a) > N)
#endif
#ifdef BROKEN_COVER
#define knows true
#else
#define knows known
#endif

inline second_of(a, s) {
	/* the other home in a's view: the lowest live member besides a */
	if
	:: a != 0 && sees(a, 0) -> s = 0
	:: a != 1 && sees(a, 1) && !(a != 0 && sees(a, 0)) -> s = 1
	:: a != 2 && sees(a, 2) && !(a != 0 && sees(a, 0)) && !(a != 1 && sees(a, 1)) -> s = 2
	:: else -> s = N
	fi
}

inline is_home(a, yes) {
	/* a is among the first two live members of its own view */
	yes = (a == 0) || (a == 1) || (a == 2 && !(sees(a, 0) && sees(a, 1)))
}

/* restart and detection: views change one by one, in any order */
proctype Faults() {
	byte i;
	do
	:: atomic { restarts < 2 ->
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: m[i].up -> m[i].up = false; restarts++
		:: else
		fi;
		i = 0
	   }
	:: atomic {
		if
		:: i = 0
		:: i = 1
		:: i = 2
		fi;
		if
		:: !m[i].up ->
			m[i].up = true;
			m[i].used = false;
			m[i].by = 0;
			m[i].covers = false;
			m[i].live = 7
		:: else
		fi;
		i = 0
	   }
	:: atomic { splits -> splits = false; split = true }
	:: atomic { split -> split = false }
	:: break
	od
}

/* a member drops those it cannot reach, and takes back those it can; who
   becomes a home by that does not know the past */
proctype Views(byte me) {
	byte other;
	bool was;
	bool is;
	do
	:: atomic { m[me].up ->
		is_home(me, was);
		if
		:: other = 0
		:: other = 1
		:: other = 2
		fi;
		if
		:: other != me && sees(me, other) && (!m[other].up || !joined(me, other)) ->
			m[me].live = m[me].live & (7 - (1 << other))
		:: other != me && !sees(me, other) && m[other].up && joined(me, other) ->
			m[me].live = m[me].live | (1 << other)
		:: else
		fi;
		is_home(me, is);
		if
		:: !was && is -> m[me].covers = false
		:: else
		fi;
		other = 0; was = false; is = false
	   }
	:: break
	od
}

proctype Claim(byte request) {
	byte home;
	byte second;
	bool known;
	byte tries = 0;
	do
	:: tries < 2 -> tries++;
		if
		:: home = 0
		:: home = 1
		:: home = 2
		fi;
		second_of(home, second);
		if
		:: atomic {
			m[home].up && first(home) && reaches_most(home) && (!m[home].used || m[home].by == request) -> m[home].used = true; m[home].by = request; known = m[home].covers
		   }
		:: else -> skip; goto again
		fi;
#ifdef BROKEN_SECOND
		if
		:: known -> grantedTo[request] = true; break
		:: else
		fi;
#endif
		if
		:: second == N -> skip
		:: atomic { second < N && m[second].up && joined(home, second) && (!m[second].used || m[second].by == request) -> m[second].used = true; m[second].by = request; known = known || m[second].covers }
		:: else -> goto again
		fi;
		/* the first home must still run, with its memory, to grant */
		if
		:: atomic { m[home].up && m[home].used && m[home].by == request && knows -> grantedTo[request] = true; assert(!(grantedTo[0] && grantedTo[1])) }
			break
		:: else
		fi;
again:		skip
	:: tries >= 2 -> break
	od;
	assert(!(grantedTo[0] && grantedTo[1]))
}

init {
	atomic {
		m[0].up = true; m[1].up = true; m[2].up = true;
		m[0].live = 7; m[1].live = 7; m[2].live = 7;
		m[0].covers = true; m[1].covers = true; m[2].covers = false;
		run Faults();
		run Views(0);
		run Views(1);
		run Views(2);
		run Claim(0);
		run Claim(1)
	}
}
