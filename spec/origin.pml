/*
 * Which software version began a stream. Backend servers of two versions come
 * and go. A stream begins at one of them, by way of one of two routers, which
 * remembers the version and tells the other router; what it tells is lost if
 * one of them restarts first, or while they cannot reach each other. A router
 * that is cut off hears neither of the other one nor of the directory. Then the
 * caller takes the stream up at either router.
 *
 * That router goes on at the version that it remembers, or that the other one
 * does if it can be asked. If none does, it goes on at the only version that it
 * has listed since its start, if its own list is current, the other one has
 * listed no other, and its own list has always been current or both were asked;
 * otherwise it refuses.
 *
 * Properties:
 *   - the stream goes on at no other version than the one that began it, unless
 *     no running router has ever listed that one, which leaves no trace of it;
 *   - it is refused only if no router that can be asked remembers it.
 *
 * Broken variants:
 *   -DBROKEN_GUESS   what nobody remembers goes on at any version
 *   -DBROKEN_FORGET  versions that have gone are not remembered
 *   -DBROKEN_MIXED   the other router's list is not asked for
 *   -DBROKEN_GAP     a router that restarted or was cut off needs nobody's list
 *   -DBROKEN_ASK     the other router is not asked what it remembers
 */
#define ROUTERS 2
#define NONE 2          /* no version; the versions are 0 and 1 */

bool serves[2];         /* the versions that the directory lists */
bool cut[ROUTERS];      /* the router hears nobody */
bool lists[4];          /* version v as router r knows the directory: 2*r + v */
bool listed[4];         /* the same, at any time since the router's start */
byte remembers[ROUTERS] = NONE;
chan told[ROUTERS] = [1] of { byte };

byte began = NONE;      /* the version that began the stream */
bool gap[ROUTERS];      /* the router restarted, or was cut off: it may have missed a version */
bool decided = false;
byte changes = 0;

#define MOST_CHANGES 5
#define other(r) (1 - (r))
#define reaches(r) (!cut[r] && !cut[other(r)])

inline learn(r) {
	lists[2*r] = serves[0]; lists[2*r+1] = serves[1];
	listed[2*r] = listed[2*r] || serves[0];
	listed[2*r+1] = listed[2*r+1] || serves[1]
}

inline learnAll() {
	if :: !cut[0] -> learn(0) :: else fi;
	if :: !cut[1] -> learn(1) :: else fi
}

#ifdef BROKEN_FORGET
#define knew(r, v) lists[2*(r)+(v)]
#else
#define knew(r, v) listed[2*(r)+(v)]
#endif

#ifdef BROKEN_MIXED
#define elsewhere(r, v) false
#else
#define elsewhere(r, v) (reaches(r) && knew(other(r), v))
#endif

#ifdef BROKEN_GAP
#define spans(r) true
#else
#define spans(r) (!gap[r] || reaches(r))
#endif

#ifdef BROKEN_GUESS
#define sole(r, v) lists[2*(r)+(v)]
#else
#define sole(r, v) (knew(r, v) && !knew(r, 1-(v)) && !elsewhere(r, 1-(v)) && spans(r))
#endif

#ifdef BROKEN_ASK
#define asks(r) false
#else
#define asks(r) reaches(r)
#endif

inline goOn(v) {
	assert(v == began || !(listed[began] || listed[2+began]));
	decided = true
}

inline takeUp(r) {
	if
	:: remembers[r] != NONE -> goOn(remembers[r])
	:: remembers[r] == NONE && asks(r) && remembers[other(r)] != NONE -> goOn(remembers[other(r)])
	:: remembers[r] == NONE && !(asks(r) && remembers[other(r)] != NONE) ->
		if
		:: sole(r, 0) -> goOn(0)
		:: sole(r, 1) -> goOn(1)
		:: else ->
			assert(!reaches(r) || remembers[other(r)] == NONE);
			decided = true
		fi
	fi
}

inline restart(r) {
	remembers[r] = NONE; gap[r] = true;
	if :: nempty(told[r]) -> told[r]?_ :: empty(told[r]) fi;
	listed[2*r] = false; listed[2*r+1] = false;
	lists[2*r] = false; lists[2*r+1] = false;
	if :: !cut[r] -> learn(r) :: else fi
}

inline change(v) {
	serves[v] = !serves[v];
	learnAll()
}

init {
	byte r;
	atomic { serves[0] = true; learnAll() }
	do
	:: decided -> break
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); change(r) }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); restart(r) }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); cut[r] = !cut[r]; gap[r] = true; learnAll() }
	:: atomic { began == NONE ->              /* the stream begins where a listed server serves */
		select(r : 0 .. 1);
		if
		:: lists[2*r] && serves[0] -> began = 0
		:: lists[2*r+1] && serves[1] -> began = 1
		:: else -> goto next
		fi;
		remembers[r] = began;
		if :: reaches(r) -> told[other(r)]!began :: else fi;
next:
		skip
	   }
	:: atomic { nempty(told[0]) -> told[0]?remembers[0] }
	:: atomic { nempty(told[1]) -> told[1]?remembers[1] }
	:: atomic { began != NONE && !decided -> select(r : 0 .. 1); takeUp(r) }
	od
}
