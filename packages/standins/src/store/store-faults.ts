import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

const faultModes = ["none", "down", "slow", "lose-answers"] as const;
type FaultMode = (typeof faultModes)[number];

/** Fault mode of the stand-in store. If `count` is given, the mode ends after that many calls. */
export class StoreFaults {
    private mode: FaultMode = "none";
    private slowDelayMs = 0;
    private remainingCalls = Number.POSITIVE_INFINITY;

    private constructor() {}

    static create(): StoreFaults {
        return new StoreFaults();
    }

    /** Sets the mode from the body of `POST /v1/fault`. */
    set(body: { mode?: unknown; delayMs?: unknown; count?: unknown }): Result<void, string> {
        const mode = faultModes.find(known => known === body.mode);
        if (mode === undefined) {
            return Err(`mode is one of ${faultModes.join(", ")}`);
        }
        this.mode = mode;
        this.slowDelayMs = typeof body.delayMs === "number" ? body.delayMs : 0;
        this.remainingCalls = typeof body.count === "number" ? body.count : Number.POSITIVE_INFINITY;
        return Ok(undefined);
    }

    /** Returns the fault to apply to the next call, and its delay in milliseconds (mode `slow`), and counts the call. */
    nextFault(): { readonly mode: FaultMode; readonly delayMs: number } {
        if (this.remainingCalls <= 0) {
            this.mode = "none";
        }
        this.remainingCalls -= 1;
        return { mode: this.mode, delayMs: this.mode === "slow" ? this.slowDelayMs : 0 };
    }
}
