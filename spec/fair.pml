/*
 * Two accounts with work waiting and one slot: the account with the least
 * weighted service is served next; costs are 1 to 3 and known at the end.
 *
 * Properties:
 *   - the difference of weighted service stays within the largest request
 *     for each account;
 *   - no account starves: each is served again and again.
 *
 * Broken variant:
 *   -DBROKEN_PICK  the slot goes to anyone
 */
#define COST 3
#define CAP  30

short service[2];
short d = 0;
byte turn = 0;
byte servedLast = 2;

active proctype Owner() {
	short cost;
	do
	:: atomic {
		if
#ifdef BROKEN_PICK
		:: turn = 0
		:: turn = 1
#else
		:: service[0] <= service[1] -> turn = 0
		:: service[1] <= service[0] -> turn = 1
#endif
		fi;
		if
		:: cost = 1
		:: cost = 2
		:: cost = COST
		fi;
		service[turn] = service[turn] + cost;
		/* only differences matter: keep the counters small */
		if
		:: service[0] > 0 && service[1] > 0 ->
			d = (service[0] < service[1] -> service[0] : service[1]);
			service[0] = service[0] - d;
			service[1] = service[1] - d
		:: else
		fi;
		servedLast = turn;
		assert(service[0] <= COST && service[1] <= COST);
		cost = 0; d = 0
	   }
	od
}

ltl no_starvation { always ((eventually (servedLast == 0)) && (eventually (servedLast == 1))) }
