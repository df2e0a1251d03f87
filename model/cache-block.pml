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

byte generation = 0;             /* the generation that the place holds now; 0 if freed */
byte issued = 0;                 /* the last generation issued; generations are unique */
byte half[2];                    /* the generation that wrote each half */
byte sealed = 0;                 /* the generation that is sealed */
byte built[GENERATIONS + 1];     /* the weight version of each generation */
byte hint = 0;
byte hint_weights = 0;
byte weights = 1;

active [2] proctype Writer() {
	byte mine;
	byte mine_built;
	byte rounds = 0;
	do
	:: rounds < 2 ->
	   rounds++;
	   atomic { issued++; mine = issued; mine_built = weights; built[mine] = mine_built; generation = mine; sealed = 0 } /* WRITE */
	   if :: atomic { generation == mine -> half[0] = mine } :: generation != mine fi;
	   if :: atomic { generation == mine -> half[1] = mine } :: generation != mine :: skip /* the writer fails */ fi;
	   if
	   :: atomic { generation == mine && half[0] == mine && half[1] == mine -> sealed = mine; hint = mine; hint_weights = mine_built } /* SEAL */
	   :: else
	   fi
	:: rounds == 2 -> break
	od
}

active proctype Eviction() {
	byte freed = 0;
	do
	:: freed < 2 -> atomic { freed++; generation = 0; sealed = 0; half[0] = 0; half[1] = 0 } /* FREE */
	:: freed == 2 -> break
	od
}

active proctype Weights() {
	weights = 2
}

active proctype Reader() {
	byte wanted;
	byte wanted_weights;
	byte first;
	byte second;
	byte rounds = 0;
	do
	:: rounds < 2 ->
	   rounds++;
	   /* the key contains the weight version: hints of another version are not found */
	   atomic { wanted = hint; wanted_weights = weights }
	   if
	   :: wanted == 0 || hint_weights != wanted_weights -> skip /* miss */
	   :: else ->
	      if
	      :: sealed != wanted -> skip /* READ: check before */
	      :: else ->
	         first = half[0];
	         second = half[1];
	         if
#ifndef BROKEN
	         :: sealed != wanted -> skip /* READ: check after */
#endif
	         :: else ->
	            assert(first == wanted && second == wanted);
	            assert(built[wanted] == wanted_weights)
	         fi
	      fi
	   fi
	:: rounds == 2 -> break
	od
}
