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
byte passed_on = 0;
bool is_complete = false;

inline relay(own, index) {
	atomic {
		if
#ifndef BROKEN
		:: own != attempt || is_complete -> skip  /* DROP */
		:: own == attempt && !is_complete && index != passed_on -> goto done /* RESTART */
#endif
		:: else -> assert(index == passed_on); passed_on++ /* PASS ON */
		fi
	}
}

proctype Attempt(byte own; byte first_index) {
	byte index = first_index;
	do
	:: index < TOKENS -> relay(own, index); index++
	:: index < TOKENS -> index++ /* the endpoint skips a token */
	:: index == TOKENS ->
	   atomic {
		if
		:: own == attempt && passed_on == TOKENS -> is_complete = true /* WHOLE: the final event's count agrees */
		:: else
		fi
	   }
	   break
	:: break /* the endpoint fails */
	od;
done:
	assert(!is_complete || passed_on == TOKENS)
}

init {
	atomic { attempt = 1; run Attempt(1, 0) }
	atomic { attempt = 2; run Attempt(2, passed_on) }
}
