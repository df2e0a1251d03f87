/*
 * The claim of a non-idempotent call; implemented in src/protocol/claim/claim-machine.ts.
 *
 * Three callers use one key. A holder may be suspended at any point for longer than its lease (the lease may expire at any
 * time), or fail. The answer to any write may be lost, whether the write was applied or not.
 *
 * Invariants: the call runs at most once, and a caller that gets `not_run` has not run it.
 *
 * BROKEN: the confirming write is not conditional on the claim's revision.
 */
#define CALLERS 3

mtype = {absent, claimed, sending, recorded, abandoned, unknown_};
mtype = {none, answered, not_run, unknown_word};

mtype stage = absent;
byte holder = 0;
byte revision = 0;
bool lapsed = false;
byte lapses = 0; /* limited, since two holders could take over from each other endlessly */
byte runs = 0;
bool ran[CALLERS];
mtype word[CALLERS] = none;

/* CLAIM */
inline claim(seen) {
	atomic {
		if
		:: revision == seen -> stage = claimed; holder = _pid; revision++; lapsed = false; won = true
		:: else -> won = false
		fi
	}
}

/* CONFIRM */
inline confirm(seen) {
	atomic {
#ifdef BROKEN
		stage = sending; holder = _pid; revision++; won = true
#else
		if
		:: revision == seen -> stage = sending; revision++; won = true
		:: else -> won = false
		fi
#endif
	}
}

/* CLOSE: record, abandon or unknown */
inline close(seen, end) {
	atomic {
		if
		:: revision == seen -> stage = end; revision++
		:: else
		:: skip /* the write is lost and not applied */
		fi
	}
}

active [CALLERS] proctype Caller() {
	byte seen;
	bool won;
	mtype found;

look:
	atomic { seen = revision; found = stage }
	if
	:: found == recorded -> word[_pid] = answered; goto done
	:: found == unknown_ || found == sending -> word[_pid] = unknown_word; goto done
	:: found == claimed && !lapsed -> word[_pid] = unknown_word; goto done /* in progress */
	:: found == absent || found == abandoned || (found == claimed && lapsed) -> skip
	fi;
	claim(seen);
	if
	:: true -> skip             /* the answer arrives, or the row is read */
	:: word[_pid] = not_run; goto done /* the answer is lost and the row cannot be read: not confirmed */
	:: goto done                 /* the holder fails */
	fi;
	if
	:: !won -> goto look
	:: else -> seen = seen + 1
	fi;
	confirm(seen);
	if
	:: true -> skip
	:: word[_pid] = not_run; goto done /* the answer is lost and the row cannot be read: not sent */
	:: goto done
	fi;
	if
	:: !won -> goto look
	:: else -> seen = seen + 1
	fi;
	if /* SEND */
	:: goto done                 /* fails before the first byte */
	:: true -> close(seen, abandoned); word[_pid] = not_run; goto done
	:: atomic { runs++; ran[_pid] = true }
	fi;
	if
	:: true -> close(seen, recorded); word[_pid] = answered
	:: true -> close(seen, unknown_); word[_pid] = unknown_word
	:: goto done                 /* fails after the first byte */
	fi;
done:
	skip
}

active proctype Lease() {
end:
	do
	:: atomic { lapses < 3 && stage == claimed && !lapsed -> lapsed = true; lapses++ }
	od
}

active proctype Monitor() {
	assert(runs <= 1);
	assert(!(word[0] == not_run && ran[0]) && !(word[1] == not_run && ran[1]) && !(word[2] == not_run && ran[2]))
}
