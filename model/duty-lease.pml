/*
 * The lease on a duty, judged by the store's clock; src/protocol/duty carries it.
 *
 * Two instances read and write one row and give orders under it. Reads and writes take any time, answers of writes get lost,
 * holders stand still anywhere. A holder's own clocks may run ahead of the store's, never behind it: it goes by the longer
 * of two, of which at most one stands still. An order arrives within MARGIN of the look at the lease before it.
 *
 * Orders of two holders are LEASE apart at least, and their numbers rise.
 *
 * BROKEN: a holder counts its grant from the answer of the read, not from its sending.
 * BROKEN_LEASE: another instance takes the row as soon as the last grant is over, without waiting for a whole lease.
 * BROKEN_WRITE: the row is written without the condition that it is still the one that was read.
 */
#define HOLDERS 2
#define ACTING 2
#define LEASE 2
#define MARGIN 1
#define END 8
#define NOBODY 0

#ifdef BROKEN_LEASE
#define FREE_AFTER (ACTING + MARGIN)
#else
#define FREE_AFTER (ACTING + LEASE + MARGIN)
#endif

byte now = 0;
byte row_holder = NOBODY;
byte row_number = 0;
byte row_granted = 0;
bool unchanged[HOLDERS + 1]; /* the row is still the one that this instance read */

byte order_holder = NOBODY;
byte order_at = 0;
byte order_number = 0;

/* Until when an order that was decided on has to arrive; END + 1 for none. */
byte due[HOLDERS + 1] = END + 1;

active proctype Clock() {
	do
	:: atomic { now < END && now < due[1] && now < due[2] -> now++ }
	:: now == END -> break
	od
}

active [HOLDERS] proctype Holder() {
	byte me = _pid; /* the clock is process 0 */
	byte asked, since, read_at, seen_holder, seen_number, seen_granted, number;
	bool may_take, is_written;
again:
	since = 0; number = 0; is_written = false; may_take = false;
	do
	:: now >= END -> goto done
	:: else ->
		/* READ: sent at `asked`, looked at by the store at `read_at`, answered at any time behind it */
		asked = now;
		d_step {
			read_at = now; seen_holder = row_holder; seen_number = row_number; seen_granted = row_granted; unchanged[me] = true
		};
#ifdef BROKEN
		since = now;
#else
		since = asked;
#endif
		/* DECIDE */
		d_step {
			may_take = (seen_holder == NOBODY || seen_holder == me || read_at >= seen_granted + FREE_AFTER);
			if
			:: seen_holder == me -> number = seen_number
			:: else -> number = seen_number + 1
			fi;
			asked = 0; seen_holder = 0; seen_number = 0; seen_granted = 0
		};
		if
		:: !may_take -> goto again
		:: else
		fi;
		/* WRITE, on the condition that the row is still the one that was read */
		d_step {
#ifdef BROKEN_WRITE
			is_written = true;
#else
			is_written = unchanged[me];
#endif
			if
			:: is_written -> row_holder = me; row_number = number; row_granted = read_at; unchanged[1] = false; unchanged[2] = false
			:: else
			fi;
			read_at = 0
		};
		if
		:: !is_written -> goto again
		:: is_written /* the answer arrives */
		:: is_written -> goto again /* the answer is lost: the write is not relied on */
		fi;
		/* ORDER, as long as the grant lasts */
		do
		:: atomic { now < END && now - since < ACTING -> due[me] = now + MARGIN };
			atomic {
				assert(order_holder == NOBODY || order_holder == me || now >= order_at + LEASE);
				assert(order_holder == NOBODY || order_holder == me || number > order_number);
				assert(order_holder != me || number >= order_number);
				order_holder = me; order_at = now; order_number = number;
				due[me] = END + 1
			}
		:: break
		od;
		since = 0; number = 0; is_written = false; may_take = false
	od;
done:
	skip
}
