/*
 * Configuration changes: acceptance, distribution and restarts; implemented in src/protocol/configuration and
 * src/entry/configuration-holder.ts.
 *
 * Two operators compete for the head. Two instances follow the table and each other, are partitioned from the platform, and
 * are restarted, which loses their state. Invariant: an instance does not serve with an older version than before, as long as
 * the platform, or a peer that it can reach, has the newer one.
 *
 * BROKEN: a restarted instance serves with the first version that it receives, before it has caught up.
 */
#define MAX_VERSION 3

byte head = 0;
byte held[2];
byte served[2];
bool is_open[2];
bool is_partitioned[2];
byte accepted_by[4]; /* by version; 0 means none */

/* ACCEPT: conditional on the revision of the head */
active [2] proctype Operator() {
	byte planned_against;
	do
	:: planned_against = head;
	   if
	   :: planned_against >= MAX_VERSION -> break
	   :: else
	   fi;
	   atomic {
		if
		:: head == planned_against -> assert(accepted_by[head + 1] == 0); head++; accepted_by[head] = _pid + 1
		:: else -> skip /* overtaken: the operator gets an error */
		fi
	   }
	od
}

/* OFFER: only the next version is applied */
inline offer(version) {
	if
	:: version == held[me] + 1 -> held[me] = version
	:: else
	fi
}

inline serve() {
	if
	:: is_open[me] && held[me] > 0 ->
	   assert(held[me] >= served[me] || (is_partitioned[me] && held[1 - me] < served[me]));
	   served[me] = held[me]
	:: else
	fi
}

proctype Instance(byte me) {
	byte restarts = 0;
	byte next;
	do
	:: atomic { !is_partitioned[me] -> next = (held[me] < head -> held[me] + 1 : 0); offer(next);
#ifdef BROKEN
		is_open[me] = true;
#else
		if
		:: held[me] == head -> is_open[me] = true /* START GATE: the table was read to its end */
		:: else
		fi;
#endif
		serve() }
	:: atomic { held[1 - me] > held[me] -> offer(held[me] + 1); serve() }
	   /* START GATE: the table cannot be reached, and peers have sent their newest version */
	:: atomic { is_partitioned[me] && held[me] > 0 && held[me] >= held[1 - me] -> is_open[me] = true; serve() }
	:: atomic { restarts < 1 -> restarts++; held[me] = 0; is_open[me] = false } /* RESTART */
	:: atomic { is_partitioned[me] = !is_partitioned[me] }
	:: atomic { restarts == 1 && held[me] == MAX_VERSION && is_open[me] -> break }
	od
}

init {
	run Instance(0);
	run Instance(1)
}
