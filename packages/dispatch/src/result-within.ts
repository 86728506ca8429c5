/** Returns what a promise resolves to, or undefined if it does not resolve within `limitMs` milliseconds. */
export const resultWithin = <T>(promise: Promise<T>, limitMs: number): Promise<T | undefined> =>
    new Promise((resolve, reject) => {
        const timer = setTimeout(() => resolve(undefined), limitMs);
        promise.then(resolve, reject).finally(() => clearTimeout(timer));
    });
