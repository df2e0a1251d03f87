/*
 * Orders to endpoints; implemented in src/protocol/order.
 *
 * Three instances become holder one after another; each gets a fencing number through the table. One endpoint refuses older
 * numbers, one ignores them. A holder may be suspended between reading the table and sending its order. Invariant: each
 * number has one holder, and no endpoint follows the order of an older holder after that of a newer one.
 *
 * BROKEN: the number is read and written without a condition, so that two holders may get the same one.
 * BROKEN_WAIT: orders that are harmful when late are sent to the endpoint that ignores numbers without waiting until the
 * older holders' longest pause is over.
 */
#define HOLDERS 3

byte number = 0;
byte owner[HOLDERS + 1];  /* the holder of each number, plus 1 */
byte checking_seen = 0;   /* the highest number that the checking endpoint has seen */
byte checking_state = 0;
byte ignoring_state = 0;
byte in_flight[HOLDERS + 1]; /* a holder with this number may still send an order */

active [HOLDERS] proctype Holder() {
	byte own;
	byte older;
	/* ALLOCATE */
#ifdef BROKEN
	own = number + 1;
	number = own;
#else
	atomic { number++; own = number };
#endif
	atomic { assert(owner[own] == 0); owner[own] = _pid + 1; in_flight[own] = 1 }
	/* ORDER to the endpoint that checks */
	atomic {
		if
		:: own >= checking_seen -> assert(own >= checking_state); checking_seen = own; checking_state = own
		:: else /* stale */
		fi
	}
	/* ORDER to the endpoint that ignores numbers: read, wait, send */
	if
	:: number != own -> goto done /* there is a newer holder */
	:: else
	fi;
#ifndef BROKEN_WAIT
	/* WAIT: while an older holder may be between its read and its order */
	older = 1;
	do
	:: older < own -> in_flight[older] == 0; older++
	:: else -> break
	od;
#endif
	atomic { assert(own > ignoring_state); ignoring_state = own }
done:
	in_flight[own] = 0
}
