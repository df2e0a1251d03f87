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
#define MOST 3

byte head = 0;
byte held[2];
byte served[2];
bool open_gate[2];
bool platform_cut[2];
byte accepted_by[4]; /* by version; 0 means none */

/* ACCEPT: conditional on the revision of the head */
active [2] proctype Operator() {
	byte planned;
	do
	:: planned = head;
	   if
	   :: planned >= MOST -> break
	   :: else
	   fi;
	   atomic {
		if
		:: head == planned -> assert(accepted_by[head + 1] == 0); head++; accepted_by[head] = _pid + 1
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
	:: open_gate[me] && held[me] > 0 ->
	   assert(held[me] >= served[me] || (platform_cut[me] && held[1 - me] < served[me]));
	   served[me] = held[me]
	:: else
	fi
}

proctype Instance(byte me) {
	byte restarts = 0;
	byte next;
	do
	:: atomic { !platform_cut[me] -> next = (held[me] < head -> held[me] + 1 : 0); offer(next);
#ifdef BROKEN
		open_gate[me] = true;
#else
		if
		:: held[me] == head -> open_gate[me] = true /* START GATE: the table was read to its end */
		:: else
		fi;
#endif
		serve() }
	:: atomic { held[1 - me] > held[me] -> offer(held[me] + 1); serve() }
	   /* START GATE: the table cannot be reached, and peers have sent their newest version */
	:: atomic { platform_cut[me] && held[me] > 0 && held[me] >= held[1 - me] -> open_gate[me] = true; serve() }
	:: atomic { restarts < 1 -> restarts++; held[me] = 0; open_gate[me] = false } /* RESTART */
	:: atomic { platform_cut[me] = !platform_cut[me] }
	:: atomic { restarts == 1 && held[me] == MOST && open_gate[me] -> break }
	od
}

init {
	run Instance(0);
	run Instance(1)
}
