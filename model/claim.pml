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
mtype = {none, answered, not_run, outcome_unknown};

mtype stage = absent;
byte holder = 0;
byte revision = 0;
bool is_expired = false;
byte expiries = 0; /* limited, since two holders could take over from each other endlessly */
byte runs = 0;
bool ran[CALLERS];
mtype outcome[CALLERS] = none;

/* CLAIM */
inline claim(seen_revision) {
	atomic {
		if
		:: revision == seen_revision -> stage = claimed; holder = _pid; revision++; is_expired = false; is_applied = true
		:: else -> is_applied = false
		fi
	}
}

/* CONFIRM */
inline confirm(seen_revision) {
	atomic {
#ifdef BROKEN
		stage = sending; holder = _pid; revision++; is_applied = true
#else
		if
		:: revision == seen_revision -> stage = sending; revision++; is_applied = true
		:: else -> is_applied = false
		fi
#endif
	}
}

/* CLOSE: record, abandon or unknown */
inline close(seen_revision, final_stage) {
	atomic {
		if
		:: revision == seen_revision -> stage = final_stage; revision++
		:: else
		:: skip /* the write is lost and not applied */
		fi
	}
}

active [CALLERS] proctype Caller() {
	byte seen_revision;
	bool is_applied;
	mtype found_stage;

read_row:
	atomic { seen_revision = revision; found_stage = stage }
	if
	:: found_stage == recorded -> outcome[_pid] = answered; goto done
	:: found_stage == unknown_ || found_stage == sending -> outcome[_pid] = outcome_unknown; goto done
	:: found_stage == claimed && !is_expired -> outcome[_pid] = outcome_unknown; goto done /* in progress */
	:: found_stage == absent || found_stage == abandoned || (found_stage == claimed && is_expired) -> skip
	fi;
	claim(seen_revision);
	if
	:: true -> skip             /* the answer arrives, or the row is read */
	:: outcome[_pid] = not_run; goto done /* the answer is lost and the row cannot be read: not confirmed */
	:: goto done                 /* the holder fails */
	fi;
	if
	:: !is_applied -> goto read_row
	:: else -> seen_revision = seen_revision + 1
	fi;
	confirm(seen_revision);
	if
	:: true -> skip
	:: outcome[_pid] = not_run; goto done /* the answer is lost and the row cannot be read: not sent */
	:: goto done
	fi;
	if
	:: !is_applied -> goto read_row
	:: else -> seen_revision = seen_revision + 1
	fi;
	if /* SEND */
	:: goto done                 /* fails before the first byte */
	:: true -> close(seen_revision, abandoned); outcome[_pid] = not_run; goto done
	:: atomic { runs++; ran[_pid] = true }
	fi;
	if
	:: true -> close(seen_revision, recorded); outcome[_pid] = answered
	:: true -> close(seen_revision, unknown_); outcome[_pid] = outcome_unknown
	:: goto done                 /* fails after the first byte */
	fi;
done:
	skip
}

active proctype Lease() {
end:
	do
	:: atomic { expiries < 3 && stage == claimed && !is_expired -> is_expired = true; expiries++ }
	od
}

active proctype Monitor() {
	assert(runs <= 1);
	assert(!(outcome[0] == not_run && ran[0]) && !(outcome[1] == not_run && ran[1]) && !(outcome[2] == not_run && ran[2]))
}
