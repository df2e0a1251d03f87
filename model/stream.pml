/*
 * One answer from several attempts; implemented in src/protocol/stream/stream-relay.ts.
 *
 * Two attempts deliver the tokens 0 to 3. The first may stop at any point and resume late; the second continues at the token
 * that was next when it started. Invariant: the tokens passed on are 0, 1, 2, 3 in order, and the answer counts as complete
 * only after all of them.
 *
 * BROKEN: events of an older attempt are not dropped, and a token's index is not checked.
 */
#define TOKENS 4

byte attempt = 0;
byte passed = 0;
bool whole = false;

inline relay(mine, index) {
	atomic {
		if
#ifndef BROKEN
		:: mine != attempt || whole -> skip  /* DROP */
		:: mine == attempt && !whole && index != passed -> goto done /* RESTART */
#endif
		:: else -> assert(index == passed); passed++ /* PASS ON */
		fi
	}
}

proctype Attempt(byte mine; byte from) {
	byte index = from;
	do
	:: index < TOKENS -> relay(mine, index); index++
	:: index < TOKENS -> index++ /* the endpoint skips a token */
	:: index == TOKENS ->
	   atomic {
		if
		:: mine == attempt && passed == TOKENS -> whole = true /* WHOLE: the final event's count agrees */
		:: else
		fi
	   }
	   break
	:: break /* the endpoint fails */
	od;
done:
	assert(!whole || passed == TOKENS)
}

init {
	atomic { attempt = 1; run Attempt(1, 0) }
	atomic { attempt = 2; run Attempt(2, passed) }
}
