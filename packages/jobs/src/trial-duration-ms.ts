/**
 * Time for which nothing else starts on the worker of a trial, in milliseconds. Tasks that crash their worker have done
 * so within milliseconds of their start; the rest is for the next heartbeat that shows the worker alive.
 */
export const trialDurationMs = 1_000;
