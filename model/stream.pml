/*
 * One answer out of several attempts; src/protocol/stream/stream-relay.ts carries it.
 *
 * Two attempts deliver the tokens 0 to 3. The first may fall silent at any point and wake up late; the second goes on at
 * the token that was due when it began. What is passed on is 0, 1, 2, 3 in order, and is called whole only then.
 *
 * BROKEN: events of an older attempt are not dropped, and a token's place is not compared.
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
	:: index < TOKENS -> index++ /* the endpoint leaves one out */
	:: index == TOKENS ->
	   atomic {
		if
		:: mine == attempt && passed == TOKENS -> whole = true /* WHOLE: end mark and count agree */
		:: else
		fi
	   }
	   break
	:: break /* the endpoint dies */
	od;
done:
	assert(!whole || passed == TOKENS)
}

init {
	atomic { attempt = 1; run Attempt(1, 0) }
	atomic { attempt = 2; run Attempt(2, passed) }
}
