/**
 * The times by which no engine reads a stored part that is being freed or written anew.
 *
 * An instance uses what it knows of a store only while that knowledge is fresh, counted from its own asking. A fetch that
 * it asks for is thrown away behind its time limit, on the engines' clock. So a part that the keeper has withdrawn can be
 * read no longer than both together behind the withdrawal.
 */

/** For how long an instance uses what it heard, counted from the sending of its question. */
export const freshMilliseconds = 800;

/**
 * Within this time a fetch ends or is thrown away. Thrown away it costs its caller the wait and its engine the reading, so it
 * leaves the largest parts time to wait behind others at a link; each withdrawal of a stored part waits as long.
 */
export const fetchMilliseconds = 1600;

/** What a request takes between the decision and the reading of the engines' clock, and what that clock may be off. */
const marginMilliseconds = 300;

/** How long behind its withdrawal a part is neither freed nor written anew. */
export const withdrawalMilliseconds = freshMilliseconds + fetchMilliseconds + marginMilliseconds;
