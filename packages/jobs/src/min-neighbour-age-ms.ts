/**
 * Time for which the other tasks of a worker must have run before a trial starts there, in milliseconds. A worker that
 * lives after this time was not crashed by them, since a task that does so takes a few milliseconds.
 */
export const minNeighbourAgeMs = 300;
