/** Resolves after `ms` milliseconds, or as soon as the signal aborts. */
export const sleep = (ms: number, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const done = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", done);
            resolve();
        };
        const timer = setTimeout(done, ms);
        signal?.addEventListener("abort", done, { once: true });
    });
