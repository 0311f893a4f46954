/*
 * Which software version began a stream. Backend servers of two versions come
 * and go. A stream begins at one of them, by way of one of two routers, which
 * remembers the version and tells the other router; what it tells is lost if
 * one of them restarts first, or while they cannot reach each other. A router
 * that is cut off hears neither of the other one nor of the directory, and
 * nobody hears of the directory while that is away. A router may also hear of
 * changes late, for a moment in which it takes itself for up to date. Then the
 * caller takes the stream up at either router.
 *
 * That router goes on at the version that it remembers, or that the other one
 * does if it can be asked. If none does, it reads what changed, and goes on at the
 * only version that it has listed, if one of the two has known all versions that
 * were listed for as long as streams can be taken up, and that one knows of no
 * other. What the other one knows counts only if nothing is missing between that
 * and what this one has read. A router that starts, or hears again of the
 * directory, does not know them until it has read the directory's history or was
 * told by a router that knows. While the directory is away, a router counts that
 * knew them until then and reaches the other one, unless the other one has started
 * since it last heard of the directory.
 *
 * The history keeps a version for longer than streams that began there can be
 * taken up. Of a version that goes it may keep the removal alone, which does not
 * say which one went.
 *
 * Properties:
 *   - the stream goes on at no other version than the one that began it;
 *   - it is refused only if no router that can be asked remembers it, and not if
 *     one version was listed all along and the router knows that.
 *
 * Broken variants:
 *   -DBROKEN_GUESS     what nobody remembers goes on at any version
 *   -DBROKEN_FORGET    versions that have gone are not remembered
 *   -DBROKEN_MIXED     the other router's list is not asked for
 *   -DBROKEN_GAP       a router that restarted or was cut off needs no history
 *   -DBROKEN_ASK       the other router is not asked what it remembers
 *   -DBROKEN_ALL       the lists of all routers count, whatever they know
 *   -DBROKEN_REMOVAL   a removal alone counts as nothing
 *   -DBROKEN_TOLD      a router tells what it does not know
 *   -DBROKEN_NEWCOMER  a router counts during an outage although another one started
 *   -DBROKEN_BELIEF    a router decides by what it last heard, without a read
 *   -DBROKEN_REVISION  what the other one knows counts although changes are missing after it
 */
#define ROUTERS 2
#define NONE 2          /* no version; the versions are 0 and 1 */

bool serves[2];         /* the versions that the directory lists */
bool past[2];           /* those in its history, listed still or not */
bool bare[2];           /* those of which the history has the removal alone */
bool ever[2];           /* those listed at any time */
bool away;              /* the directory answers nobody */
bool cut[ROUTERS];      /* the router hears nobody */
bool lists[4];          /* version v as router r knows the directory: 2*r + v */
bool listed[4];         /* the same, at any time that the router knows of */
bool unknown[ROUTERS];  /* the router knows of a removal alone */
bool spans[ROUTERS];    /* the router knows all that was listed, or did when it last heard of the directory */
bool late[ROUTERS];     /* the router has yet to hear of changes, and takes itself for up to date */
bool missed[4];         /* the versions listed meanwhile */
bool newcomer[ROUTERS]; /* the other router started since this one last heard of the directory */
byte remembers[ROUTERS] = NONE;
chan told[ROUTERS] = [1] of { byte };

byte began = NONE;      /* the version that began the stream */
bool decided = false;
byte changes = 0;

#define MOST_CHANGES 6
#define other(r) (1 - (r))
#define reaches(r) (!cut[r] && !cut[other(r)])
#define current(r) (!cut[r] && !away)

inline learn(r) {
	lists[2*r] = serves[0]; lists[2*r+1] = serves[1];
	listed[2*r] = listed[2*r] || serves[0];
	listed[2*r+1] = listed[2*r+1] || serves[1];
	newcomer[r] = false
}

/* A router reads all that it has yet to hear of. */
inline hear(r) {
	listed[2*r] = listed[2*r] || missed[2*r];
	listed[2*r+1] = listed[2*r+1] || missed[2*r+1];
	missed[2*r] = false; missed[2*r+1] = false;
	late[r] = false;
	learn(r)
}

inline miss(r) {
	missed[2*r] = missed[2*r] || serves[0];
	missed[2*r+1] = missed[2*r+1] || serves[1]
}

inline learnAll() {
	if :: current(0) && !late[0] -> learn(0) :: current(0) && late[0] -> miss(0) :: else fi;
	if :: current(1) && !late[1] -> learn(1) :: current(1) && late[1] -> miss(1) :: else fi
}

#ifdef BROKEN_FORGET
#define knew(r, v) lists[2*(r)+(v)]
#else
#define knew(r, v) listed[2*(r)+(v)]
#endif

#ifdef BROKEN_MIXED
#define elsewhere(r, v) false
#else
#define elsewhere(r, v) (reaches(r) && (knew(other(r), v) || unknown[other(r)]))
#endif

#ifdef BROKEN_REVISION
#define isComplete(from) true
#else
#define isComplete(from) (!late[from])
#endif

#ifdef BROKEN_GAP
#define covers(r) current(r)
#else
#ifdef BROKEN_ALL
#define covers(r) (reaches(r) || current(r) && spans[r])
#else
#define coversOutage(r) (away && reaches(r) && spans[r] && !newcomer[r])
#define covers(r) (current(r) && (spans[r] || reaches(r) && spans[other(r)] && isComplete(other(r))) || coversOutage(r))
#endif
#endif

#ifdef BROKEN_GUESS
#define sole(r, v) lists[2*(r)+(v)]
#else
#define sole(r, v) (knew(r, v) && !knew(r, 1-(v)) && !unknown[r] && !elsewhere(r, 1-(v)) && covers(r))
#endif

#ifdef BROKEN_ASK
#define asks(r) false
#else
#define asks(r) reaches(r)
#endif

inline goOn(v) {
	assert(v == began);
	decided = true
}

inline takeUp(r) {
#ifndef BROKEN_BELIEF
	if :: current(r) -> hear(r) :: else fi;
#endif
	if
	:: remembers[r] != NONE -> goOn(remembers[r])
	:: remembers[r] == NONE && asks(r) && remembers[other(r)] != NONE -> goOn(remembers[other(r)])
	:: remembers[r] == NONE && !(asks(r) && remembers[other(r)] != NONE) ->
		if
		:: sole(r, 0) -> goOn(0)
		:: sole(r, 1) -> goOn(1)
		:: else ->
			assert(!reaches(r) || remembers[other(r)] == NONE);
			assert(!(current(r) && spans[r] && serves[began] && !ever[1-began] && !unknown[r] && !elsewhere(r, 1-began)));
			decided = true
		fi
	fi
}

inline restart(r) {
	remembers[r] = NONE; unknown[r] = false; spans[r] = false;
	if :: nempty(told[r]) -> told[r]?_ :: empty(told[r]) fi;
	listed[2*r] = false; listed[2*r+1] = false;
	lists[2*r] = false; lists[2*r+1] = false;
	missed[2*r] = false; missed[2*r+1] = false; late[r] = false; newcomer[r] = false;
	if
	:: current(r) -> learn(r)
	:: !current(r) && reaches(r) ->      /* the other router sends what it lists */
		lists[2*r] = lists[2*other(r)]; lists[2*r+1] = lists[2*other(r)+1];
		listed[2*r] = lists[2*r]; listed[2*r+1] = lists[2*r+1]
	:: else
	fi;
#ifndef BROKEN_NEWCOMER
	if :: !current(other(r)) || late[other(r)] -> newcomer[other(r)] = true :: else fi
#endif
}

inline change(v) {
	serves[v] = !serves[v];
	if
	:: serves[v] -> past[v] = true; ever[v] = true; bare[v] = false
	:: !serves[v] -> bare[v] = true
	:: !serves[v] -> bare[v] = false
	fi;
	learnAll()
}

inline switchCut(r) {
	cut[r] = !cut[r];
	if :: current(r) -> spans[r] = false :: else fi;
	learnAll()
}

inline switchAway() {
	away = !away;
	if :: current(0) -> spans[0] = false :: else fi;
	if :: current(1) -> spans[1] = false :: else fi;
	learnAll()
}

inline note(r, v) {
	if
	:: past[v] && !serves[v] && !bare[v] -> listed[2*r+v] = true
#ifndef BROKEN_REMOVAL
	:: past[v] && !serves[v] && bare[v] -> unknown[r] = true
#endif
	:: else
	fi
}

inline readHistory(r) {
	note(r, 0); note(r, 1);
	spans[r] = true
}

inline tell(from, to) {
	listed[2*to] = listed[2*to] || listed[2*from];
	listed[2*to+1] = listed[2*to+1] || listed[2*from+1];
	unknown[to] = unknown[to] || unknown[from];
	spans[to] = true
}

#ifdef BROKEN_TOLD
#define mayTell(from, to) (reaches(from) && current(from))
#else
#define mayTell(from, to) (reaches(from) && current(from) && spans[from] && isComplete(from))
#endif

/* The history keeps a version until no stream that began there can be taken up. */
inline expire(v) {
	past[v] = false; bare[v] = false;
	if :: began == v -> decided = true :: else fi
}

init {
	byte r;
	atomic { serves[0] = true; past[0] = true; ever[0] = true; learnAll() }
	do
	:: decided -> break
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); change(r) }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); restart(r) }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); switchCut(r) }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; switchAway() }
	:: atomic { !decided && changes < MOST_CHANGES -> changes++; select(r : 0 .. 1); if :: current(r) -> late[r] = true :: else fi }
	:: atomic { current(0) && late[0] -> hear(0) }
	:: atomic { current(1) && late[1] -> hear(1) }
	:: atomic { current(0) && !spans[0] -> readHistory(0) }
	:: atomic { current(1) && !spans[1] -> readHistory(1) }
	:: atomic { mayTell(0, 1) && !spans[1] -> tell(0, 1) }
	:: atomic { mayTell(1, 0) && !spans[0] -> tell(1, 0) }
	:: atomic { past[0] && !serves[0] -> expire(0) }
	:: atomic { past[1] && !serves[1] -> expire(1) }
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
