/*
 * The leader lease, granted by the store's clock; implemented in src/protocol/lease.
 *
 * Two instances read and write one row and give orders under it. Reads and writes take any time, answers to writes may be
 * lost, and holders may be suspended at any point. A holder's time may run faster than the store's, but not slower: it is the
 * longer of two clocks, of which at most one stops. An order arrives within MARGIN of the check of the lease before it.
 *
 * Invariants: orders of two holders are at least LEASE apart, and their numbers increase.
 *
 * BROKEN: a holder counts its grant from the answer to the read, not from the sending of the read.
 * BROKEN_LEASE: another instance acquires the row as soon as the last grant is over, without waiting for a whole lease.
 * BROKEN_WRITE: the row is written without the condition that it is unchanged since the read.
 */
#define HOLDERS 2
#define GRANT 2
#define LEASE 2
#define MARGIN 1
#define END 8
#define NOBODY 0

#ifdef BROKEN_LEASE
#define FREE_AFTER (GRANT + MARGIN)
#else
#define FREE_AFTER (GRANT + LEASE + MARGIN)
#endif

byte now = 0;
byte row_holder = NOBODY;
byte row_number = 0;
byte row_granted = 0;
bool unchanged[HOLDERS + 1]; /* the row is unchanged since this instance read it */

byte order_holder = NOBODY;
byte order_at = 0;
byte order_number = 0;

/* The time by which a decided order must arrive; END + 1 for none. */
byte due[HOLDERS + 1] = END + 1;

active proctype Clock() {
	do
	:: atomic { now < END && now < due[1] && now < due[2] -> now++ }
	:: now == END -> break
	od
}

active [HOLDERS] proctype Holder() {
	byte me = _pid; /* the clock is process 0 */
	byte sent_at, since, read_at, seen_holder, seen_number, seen_granted, number;
	bool may_acquire, is_written;
retry:
	since = 0; number = 0; is_written = false; may_acquire = false;
	do
	:: now >= END -> goto done
	:: else ->
		/* READ: sent at `sent_at`, served by the store at `read_at`, answered at any later time */
		sent_at = now;
		d_step {
			read_at = now; seen_holder = row_holder; seen_number = row_number; seen_granted = row_granted; unchanged[me] = true
		};
#ifdef BROKEN
		since = now;
#else
		since = sent_at;
#endif
		/* DECIDE */
		d_step {
			may_acquire = (seen_holder == NOBODY || seen_holder == me || read_at >= seen_granted + FREE_AFTER);
			if
			:: seen_holder == me -> number = seen_number
			:: else -> number = seen_number + 1
			fi;
			sent_at = 0; seen_holder = 0; seen_number = 0; seen_granted = 0
		};
		if
		:: !may_acquire -> goto retry
		:: else
		fi;
		/* WRITE, on the condition that the row is unchanged since the read */
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
		:: !is_written -> goto retry
		:: is_written /* the answer arrives */
		:: is_written -> goto retry /* the answer is lost: the lease is not used */
		fi;
		/* ORDER, while the grant is valid */
		do
		:: atomic { now < END && now - since < GRANT -> due[me] = now + MARGIN };
			atomic {
				assert(order_holder == NOBODY || order_holder == me || now >= order_at + LEASE);
				assert(order_holder == NOBODY || order_holder == me || number > order_number);
				assert(order_holder != me || number >= order_number);
				order_holder = me; order_at = now; order_number = number;
				due[me] = END + 1
			}
		:: break
		od;
		since = 0; number = 0; is_written = false; may_acquire = false
	od;
done:
	skip
}
