import { AdaptiveTimeout } from "./adaptive-timeout.js";

/** The adaptive time-outs of several kinds of call, by a name for each kind. */
export class AdaptiveTimeouts {
    private readonly timeouts = new Map<string, AdaptiveTimeout>();

    private constructor(private readonly maxMs: number) {}

    static create(maxMs: number): AdaptiveTimeouts {
        return new AdaptiveTimeouts(maxMs);
    }

    /** Returns the time-out of a kind of call, created with this minimum if the kind is new. */
    get(kind: string, minMs: number): AdaptiveTimeout {
        const existing = this.timeouts.get(kind);
        if (existing !== undefined) {
            return existing;
        }
        const timeout = AdaptiveTimeout.create(minMs, this.maxMs);
        this.timeouts.set(kind, timeout);
        return timeout;
    }
}
