/** A run that its worker has survived for this long is not taken for the cause of a crash, in milliseconds. */
export const settledRunMs = 10_000;
