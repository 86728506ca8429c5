import { sleep } from "./sleep.js";

/** Returns what a promise resolves to, or undefined if it does not resolve within `limitMs` milliseconds. */
export const resultWithin = async <T>(promise: Promise<T>, limitMs: number): Promise<T | undefined> => {
    const limit = new AbortController();
    const expiry = sleep(limitMs, limit.signal).then(() => undefined);
    const first = await Promise.race([promise, expiry]);
    limit.abort();
    return first;
};
