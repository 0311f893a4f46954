/*
 * Leases on one slot of one backend server: two routers that may both believe
 * that they own the pool, and two holders. Time is a counter that everyone
 * reads; a holder's pause is the time that passes between its steps.
 *
 * Transitions of a lease carry the names of pkg/chart/lease.yaml.
 *
 * Properties:
 *   - no request starts on a lease that has expired at its holder;
 *   - no request starts on a slot after its owner took the lease back;
 *   - at most one request runs on the slot, unless an owner took back the
 *     lease of a request that still ran and was not reported: then its slot
 *     counts as taken until the backend server's own report, which this
 *     model leaves out.
 *
 * Broken variants, each of which must be rejected:
 *   -DBROKEN_RECEIPT  a lease counts its time from its receipt
 *   -DBROKEN_CHECK    the clock is not looked at before the first byte
 *   -DBROKEN_QUIET    a new owner grants at once
 */
#define TTL     1
#define RECLAIM 2
#define QUIET   1
#define ENDTIME 3

#ifdef BROKEN_QUIET
#define quiet_over(me) true
#else
#define quiet_over(me) ((me) == 0 || (now >= changedAt + QUIET && runningNow == 0))
#endif
#ifdef BROKEN_CHECK
#define in_time(expires) true
#else
#define in_time(expires) (now < (expires))
#endif
/* the former owner goes on believing until it has heard otherwise */
#define believes(me) ((me) == owner || ((me) == 0 && !oldStopped))

mtype = { granted, running, returned, expired };

byte now = 0;
byte runningNow = 0;      /* requests on the slot */
byte owner = 0;           /* which router the zone believes to be the owner */
byte changedAt = 0;
bool oldStopped = false;  /* the former owner has heard that it is none */

/* one message to each holder: busy, its owner, the stamp it counts from */
typedef Mail { bool busy; byte from; byte stamped; byte serial }
Mail mail[2];
/* what each owner believes of its slot */
typedef Books { bool out; byte to; byte heard; byte serial; byte takenBack }
Books books[2];
/* the last stamp each holder sent to each owner */
typedef Stamps { byte at[2] }
Stamps stamp[2];
#define GRANTS 1          /* leases numbered 1 to GRANTS, by owner */

inline return_lease(me, o) {
	if
	:: books[o].out && books[o].serial == serial -> books[o].out = false
	:: else
	fi
}

proctype Clock() {
	do
	:: now < ENDTIME -> now++
	:: now >= ENDTIME -> break
	od
}

/* The zone's members change their mind once, at any time. */
proctype Members() {
	if
	:: now < ENDTIME - QUIET -> atomic { owner = 1; changedAt = now }
	:: true
	fi;
	if
	:: owner == 1 -> atomic { oldStopped = true }
	:: true
	fi
}

proctype Owner(byte me) {
	byte to;
	do
	:: now >= ENDTIME -> break
	:: atomic {
		/* grant: only to a holder whose stamp is fresh */
		!books[me].out && believes(me) && quiet_over(me) && books[me].serial < GRANTS -> if
		   :: to = 0
		   :: to = 1
		   fi;
		   if
		   :: !mail[to].busy && stamp[to].at[me] + TTL > now ->
			books[me].out = true;
			books[me].to = to;
			books[me].heard = now;
			books[me].serial++;
			mail[to].busy = true;
			mail[to].from = me;
			mail[to].stamped = stamp[to].at[me];
			mail[to].serial = books[me].serial;
			to = 0
		   :: else -> to = 0
		   fi
	   }
	:: atomic {
		books[me].out && now >= books[me].heard + RECLAIM
		-> books[me].out = false;
		   books[me].takenBack = books[me].serial
	   }
	od
}

proctype Holder(byte me) {
	mtype state = returned;
	byte from = 0;
	byte expires = 0;
	byte serial = 0;
	do
	:: now >= ENDTIME -> break
	/* report to the owner that the holder believes in */
	:: atomic { state == returned && stamp[me].at[owner] != now -> stamp[me].at[owner] = now }
	:: atomic { state == running && books[from].serial == serial -> books[from].heard = now }
	:: atomic {
		mail[me].busy && state == returned
		-> from = mail[me].from;
		   serial = mail[me].serial;
#ifdef BROKEN_RECEIPT
		   expires = now + TTL;
#else
		   expires = mail[me].stamped + TTL;
#endif
		   mail[me].busy = false;
		   state = granted
	   }
	:: atomic { /* hand-back, recall */
		state == granted -> return_lease(me, from); state = returned
	   }
	:: atomic { /* expire */
		state == granted && now >= expires -> state = expired; return_lease(me, from); state = returned
	   }
	:: atomic { /* start: the clock is looked at in the step that sends */
		state == granted && in_time(expires) -> assert(now < expires);
		   assert(serial > books[from].takenBack);
		   state = running;
		   runningNow++;
		   /* a former owner that took back a silent lease may have granted
		      the slot again: the one case of two on a slot */
		   assert(runningNow <= 1 || books[from].takenBack > 0)
	   }
	:: atomic { /* reuse: the lease is free again, for no longer than before */
		state == running && books[from].serial == serial && books[from].out -> runningNow--; state = granted
	   }
	:: atomic { /* finish */
		state == running -> runningNow--; return_lease(me, from); state = returned
	   }
	od
}

init {
	atomic {
		run Clock();
		run Members();
		run Owner(0);
		run Owner(1);
		run Holder(0);
		run Holder(1)
	}
}
