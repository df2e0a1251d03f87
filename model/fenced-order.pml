/*
 * Orders to endpoints; src/protocol/order carries it.
 *
 * Three instances hold the right to order one after the other; each gets a number through the table. One endpoint
 * refuses old numbers, one ignores them. A holder may stand still between its look at the table and its order.
 *
 * BROKEN: the number is read and written back without a condition, so that two holders share one.
 * BROKEN_WAIT: orders that are harmful when late go to the endpoint that ignores numbers without waiting until the
 * older holders' longest pause is over.
 */
#define HOLDERS 3

byte number = 0;
byte owner[HOLDERS + 1];  /* holder + 1 by number */
byte checking_seen = 0;   /* highest number that the checking endpoint has seen */
byte checking_state = 0;
byte ignoring_state = 0;
byte under_way[HOLDERS + 1]; /* a holder with this number may still send */

active [HOLDERS] proctype Holder() {
	byte mine;
	byte older;
	/* ALLOCATE */
#ifdef BROKEN
	mine = number + 1;
	number = mine;
#else
	atomic { number++; mine = number };
#endif
	atomic { assert(owner[mine] == 0); owner[mine] = _pid + 1; under_way[mine] = 1 }
	/* ORDER to the endpoint that checks */
	atomic {
		if
		:: mine >= checking_seen -> assert(mine >= checking_state); checking_seen = mine; checking_state = mine
		:: else /* stale */
		fi
	}
	/* ORDER to the endpoint that ignores numbers: look, wait, send */
	if
	:: number != mine -> goto done /* a younger holder is there */
	:: else
	fi;
#ifndef BROKEN_WAIT
	/* WAIT: as long as an older holder may still be between its look and its order */
	older = 1;
	do
	:: older < mine -> under_way[older] == 0; older++
	:: else -> break
	od;
#endif
	atomic { assert(mine > ignoring_state); ignoring_state = mine }
done:
	under_way[mine] = 0
}
