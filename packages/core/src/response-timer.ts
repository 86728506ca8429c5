/** Longest time for the data of a response that has begun, in milliseconds. */
const MaxTransferMs = 30_000;

/** Limits of a call: `timeoutMs` for the whole response or, with `maxIdleMs`, for its beginning. */
interface TimerLimits {
    readonly timeoutMs: number;
    readonly maxIdleMs?: number;
}

/**
 * Limits the time of one HTTP response. With `maxIdleMs`, a response that has begun is limited by the time between two
 * pieces of data: a long one on a slow or shared link is then not abandoned while it makes progress.
 */
export class ResponseTimer {
    private timer: NodeJS.Timeout;
    private beganAtMs: number | undefined;

    private constructor(
        private readonly limits: TimerLimits,
        private readonly onTimeout: (err: Error) => void,
    ) {
        const { timeoutMs } = limits;
        const expected = limits.maxIdleMs === undefined ? "complete response" : "response";
        this.timer = setTimeout(
            () => onTimeout(new Error(`No ${expected} within ${timeoutMs} ms`)),
            timeoutMs,
        );
    }

    static start(limits: TimerLimits, onTimeout: (err: Error) => void): ResponseTimer {
        return new ResponseTimer(limits, onTimeout);
    }

    /** Records that the response has begun or that more of it has arrived. */
    noteProgress(): void {
        const { maxIdleMs } = this.limits;
        if (maxIdleMs === undefined) {
            return;
        }
        this.beganAtMs ??= performance.now();
        const remainingMs = this.beganAtMs + MaxTransferMs - performance.now();
        const message =
            remainingMs < maxIdleMs
                ? `Response not complete ${MaxTransferMs} ms after its beginning`
                : `No data of the response for ${maxIdleMs} ms`;
        clearTimeout(this.timer);
        this.timer = setTimeout(
            () => this.onTimeout(new Error(message)),
            Math.min(maxIdleMs, Math.max(0, remainingMs)),
        );
    }

    stop(): void {
        clearTimeout(this.timer);
    }
}
