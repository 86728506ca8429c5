/** Resolves on the first SIGTERM or SIGINT. */
export const waitForStopSignal = (): Promise<void> =>
    new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
