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
byte under_way[HOLDERS + 1]; /* a holder with this number may still send an order */

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
	/* ORDER to the endpoint that ignores numbers: read, wait, send */
	if
	:: number != mine -> goto done /* there is a newer holder */
	:: else
	fi;
#ifndef BROKEN_WAIT
	/* WAIT: while an older holder may be between its read and its order */
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
