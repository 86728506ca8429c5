/**
 * Time, in milliseconds, for which the owner of a cell answers no other question where work would be placed after one. An
 * answer takes its thread about as long as a few placements do, so that questions take it at most a small share of its time.
 */
export const explainPauseMs = 250;
