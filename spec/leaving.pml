/*
 * A backend server that operators mark, with two requests that come and go.
 *
 * Transitions carry the names of pkg/chart/backend.yaml.
 *
 * Properties:
 *   - nothing starts later than GRACE after the mark is in force;
 *   - a planned stop never ends a request that runs;
 *   - the server is declared safe to stop only when nothing runs.
 *
 * Broken variants:
 *   -DBROKEN_GRANT  the owner goes on granting after the mark
 *   -DBROKEN_CUT    the stop does not wait for streams
 */
#define GRACE 2
#define ENDTIME 7

#ifdef BROKEN_GRANT
#define open (mark != gone && now < ENDTIME)
#else
#define open (mark == serving)
#endif

mtype = { joining, serving, leaving, stopping, gone };
mtype mark = joining;
byte now = 0;
byte markedAt = 0;
byte leases = 0;          /* granted, not started */
byte expires = 0;
byte runningNow = 0;
bool cutShort = false;

proctype Clock() {
	do
	:: now < ENDTIME -> now++
	:: now >= ENDTIME -> break
	od
}

/* leave, stop: the time counts from the mark that ends the serving */
inline close_with(m) {
	if
	:: mark == serving -> markedAt = now
	:: else
	fi;
	mark = m
}

proctype Operator() {
	byte changes = 0;
	do
	:: changes < 3 -> changes++;
		if
		:: atomic { mark == joining -> mark = serving }          /* admit */
		:: atomic { mark == joining -> mark = gone; goto ended } /* abandon */
		:: atomic { mark == joining -> mark = leaving }          /* leave-joining */
		:: atomic { mark == joining -> mark = stopping }         /* stop-joining */
		:: atomic { mark == serving -> close_with(leaving) }     /* leave */
		:: atomic { mark == serving -> close_with(stopping) }    /* stop */
		:: atomic { mark == leaving -> mark = stopping }         /* stop-leaving */
		:: atomic { mark == stopping -> mark = leaving }         /* leave-stopping */
		:: atomic { mark == leaving -> mark = serving }          /* return */
		:: atomic { mark == stopping -> mark = serving }         /* unstop */
		/* removed-serving: a row that vanishes closes the server as a
		   leave does, and nothing more */
		:: atomic { mark == serving -> close_with(leaving) }
		fi
	:: changes >= 3 -> break
	od;
	if
	:: atomic { mark == joining || mark == serving -> close_with(stopping) }
	:: else
	fi;
	/* drained-leaving, drained-stopping: safe to stop */
#ifdef BROKEN_CUT
	atomic { now >= markedAt + GRACE -> mark = gone; cutShort = (runningNow > 0) }
#else
	atomic { (now >= markedAt + GRACE || now >= ENDTIME) && runningNow == 0 && (leases == 0 || now >= expires || now >= ENDTIME) -> mark = gone }
#endif
	assert(!cutShort);
	assert(runningNow == 0);
ended:	skip
}

proctype Owner() {
	do
	:: now >= ENDTIME || mark == gone -> break
	:: atomic {
		open && leases == 0 && runningNow < 2 -> leases = 1; expires = now + GRACE
	   }
	od
}

proctype Holder() {
	do
	:: now >= ENDTIME || mark == gone -> break
	:: atomic { leases == 1 && now < expires && mark != gone ->
		leases = 0;
		runningNow++;
		assert(mark == serving || mark == joining || now <= markedAt + GRACE)
	   }
	:: atomic { leases == 1 && now >= expires -> leases = 0 }
	:: atomic { runningNow > 0 -> runningNow-- }
	od;
	/* streams end by themselves, leases run out */
	do
	:: atomic { runningNow > 0 -> runningNow-- }
	:: atomic { leases > 0 -> leases = 0 }
	:: runningNow == 0 && leases == 0 -> break
	od
}

init {
	atomic { run Clock(); run Operator(); run Owner(); run Holder() }
}
