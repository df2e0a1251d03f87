/*
 * Cache blocks: write, seal, read, free, reuse, change of weights; implemented in src/protocol/cache.
 *
 * One place in a store is written in two halves, sealed, read in two halves, freed and reused by another writer. A hint
 * names the generation and the weight version, and may be outdated. Invariant: an accepted read consists of both halves of
 * the generation that the hint names, and that generation was computed under the reader's weight version.
 *
 * BROKEN: the seal is checked only before the read and not after it.
 */
#define GENERATIONS 4

byte generation = 0;              /* the generation that the place holds now; 0 if freed */
byte last_issued = 0;             /* the last generation issued; generations are unique */
byte halves[2];                   /* the generation that wrote each half */
byte sealed = 0;                  /* the generation that is sealed */
byte weights_of[GENERATIONS + 1]; /* the weight version of each generation */
byte hint = 0;
byte hint_weights = 0;
byte weights = 1;

active [2] proctype Writer() {
	byte own;
	byte own_weights;
	byte rounds = 0;
	do
	:: rounds < 2 ->
	   rounds++;
	   atomic { last_issued++; own = last_issued; own_weights = weights; weights_of[own] = own_weights; generation = own; sealed = 0 } /* WRITE */
	   if :: atomic { generation == own -> halves[0] = own } :: generation != own fi;
	   if :: atomic { generation == own -> halves[1] = own } :: generation != own :: skip /* the writer fails */ fi;
	   if
	   :: atomic { generation == own && halves[0] == own && halves[1] == own -> sealed = own; hint = own; hint_weights = own_weights } /* SEAL */
	   :: else
	   fi
	:: rounds == 2 -> break
	od
}

active proctype Eviction() {
	byte freed = 0;
	do
	:: freed < 2 -> atomic { freed++; generation = 0; sealed = 0; halves[0] = 0; halves[1] = 0 } /* FREE */
	:: freed == 2 -> break
	od
}

active proctype Weights() {
	weights = 2
}

active proctype Reader() {
	byte hinted;
	byte reader_weights;
	byte first_half;
	byte second_half;
	byte rounds = 0;
	do
	:: rounds < 2 ->
	   rounds++;
	   /* the key contains the weight version: hints of another version are not found */
	   atomic { hinted = hint; reader_weights = weights }
	   if
	   :: hinted == 0 || hint_weights != reader_weights -> skip /* miss */
	   :: else ->
	      if
	      :: sealed != hinted -> skip /* READ: check before */
	      :: else ->
	         first_half = halves[0];
	         second_half = halves[1];
	         if
#ifndef BROKEN
	         :: sealed != hinted -> skip /* READ: check after */
#endif
	         :: else ->
	            assert(first_half == hinted && second_half == hinted);
	            assert(weights_of[hinted] == reader_weights)
	         fi
	      fi
	   fi
	:: rounds == 2 -> break
	od
}
