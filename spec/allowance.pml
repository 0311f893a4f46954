/*
 * The fleet's allowance of repeats, within one window. Each router takes its
 * part by itself: for every second request that it has seen it may repeat one,
 * and the fixed extra is divided by the routers that were heard of in the
 * window, whether they can be heard now or not. A router that has started in
 * the window does not know what it had used, and gets no part of the extra.
 *
 * Property: over all routers there are never more repeats than half of the
 * requests, and the extra.
 *
 * Broken variants:
 *   -DBROKEN_ALONE    the extra is divided by the routers that are heard now
 *   -DBROKEN_RESTART  a router that has started gets its part of the extra
 *   -DBROKEN_ALL      every router takes all of the extra
 */
#define ROUTERS 2
#define EXTRA 2
#define MOST 4       /* requests that each router sees */

byte requests[ROUTERS];    /* as the router knows */
byte repeats[ROUTERS];
bool started[ROUTERS];     /* in this window */
byte arrivals[ROUTERS];    /* bounds the model */
byte allRequests = 0;
byte allRepeats = 0;
bool cut = false;          /* they do not hear each other */
byte cuts = 0;
byte restarts = 0;

#ifdef BROKEN_ALONE
#define KNOWN (cut -> 1 : ROUTERS)
#else
#ifdef BROKEN_ALL
#define KNOWN 1
#else
#define KNOWN ROUTERS
#endif
#endif

#ifdef BROKEN_RESTART
#define PART(me) (EXTRA / KNOWN)
#else
#define PART(me) (started[me] -> 0 : EXTRA / KNOWN)
#endif

proctype Router(byte me) {
	do
	:: atomic { arrivals[me] < MOST ->
		arrivals[me]++;
		requests[me]++;
		allRequests++
	   }
	:: atomic { repeats[me] + 1 <= requests[me] / 2 + PART(me) ->
		repeats[me]++;
		allRepeats++;
		assert(allRepeats <= allRequests / 2 + EXTRA)
	   }
	:: atomic { restarts < 2 ->
		restarts++;
		requests[me] = 0;
		repeats[me] = 0;
		started[me] = true
	   }
	:: arrivals[me] == MOST -> break
	od
}

proctype Network() {
	do
	:: cuts < 2 -> cuts++; cut = !cut
	:: cuts >= 2 -> break
	od
}

init {
	atomic { run Router(0); run Router(1); run Network() }
}
