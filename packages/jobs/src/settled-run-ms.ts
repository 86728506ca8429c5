/** A task whose worker has survived it for this long is suspected no more, in milliseconds. */
export const settledRunMs = 3_000;
