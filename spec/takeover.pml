/*
 * Taking a stream up elsewhere. A router reads the events of a stream from a
 * backend server over a connection and passes them on. The connection may
 * break, or the backend server may fall silent in the middle; then the router
 * closes it and asks another one to go on after the last event that was passed
 * on, as often as its attempts and the fleet's allowance let it. What was on
 * its way on the closed connection may still arrive.
 *
 * Properties:
 *   - the caller gets every event once, in order;
 *   - a stream that looks whole to the caller has all events;
 *   - no more backend servers are asked than the attempts allow, and each but
 *     the first is paid out of the allowance.
 *
 * Broken variants:
 *   -DBROKEN_RESUME  the next one begins anew, not after the last event
 *   -DBROKEN_LATE    events of a closed connection are still passed on
 *   -DBROKEN_END     the end of a connection counts as the end of the stream
 *   -DBROKEN_PAY     a take-up is not paid for
 */
#define EVENTS 3
#define ATTEMPTS 3
#define ALLOWANCE 1
#define END 4      /* sent after the last event, by a backend server that is done */
#define BREAK 5    /* the connection ends */

/* What is on its way on each attempt's connection: an event, END or BREAK. */
chan connection[ATTEMPTS] = [4] of { byte };
bool closed[ATTEMPTS];
byte asked = 0;      /* backend servers that were asked */
byte paid = 0;       /* repeats taken out of the allowance */
byte passed = 0;     /* last event that the caller has */
bool whole = false;  /* the caller takes the stream for whole */

proctype Backend(byte attempt; byte from) {
	byte next = from + 1;
	do
	:: closed[attempt] -> break
	:: !closed[attempt] && next <= EVENTS ->
		connection[attempt]!next; next++
	:: !closed[attempt] && next > EVENTS ->
		connection[attempt]!END; break
	:: next > 1 -> connection[attempt]!BREAK; break   /* it crashes */
	:: next > 1 -> break                              /* it hangs */
	od
}

inline ask(from) {
	run Backend(asked, from);
	asked++
}

inline pass(event) {
	assert(event == passed + 1);
	passed = event
}

inline takeUp(current) {
	closed[current] = true;
	if
#ifdef BROKEN_PAY
	:: asked < ATTEMPTS ->
#else
	:: asked < ATTEMPTS && paid < ALLOWANCE -> paid++;
#endif
#ifdef BROKEN_RESUME
		ask(0)
#else
		ask(passed)
#endif
	:: else -> goto done                              /* cut, visibly */
	fi
}

proctype Router() {
	byte event;
	ask(0);
	do
	:: connection[asked - 1]?event ->
		if
		:: event == END -> whole = true; goto done
		:: event == BREAK ->
#ifdef BROKEN_END
			whole = true; goto done
#else
			takeUp(asked - 1)
#endif
		:: else -> pass(event)
		fi
	:: empty(connection[asked - 1]) && passed > 0 -> takeUp(asked - 1)  /* silence */
#ifdef BROKEN_LATE
	:: asked > 1 && nempty(connection[asked - 2]) ->
		connection[asked - 2]?event;
		if
		:: event <= EVENTS -> pass(event)
		:: else
		fi
#endif
	od;
done:
	assert(!whole || passed == EVENTS);
	assert(asked <= ATTEMPTS && asked <= paid + 1)
}

init {
	run Router()
}
