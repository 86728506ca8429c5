/**
 * A run that its worker has survived for this long, in milliseconds, shares no blame when the worker is lost. A task
 * that crashes its workers does so right after its start.
 */
export const recentStartMs = 1_000;
