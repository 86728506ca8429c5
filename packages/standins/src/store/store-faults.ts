import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

const modes = ["none", "down", "slow", "lose-answers"] as const;
type Mode = (typeof modes)[number];

/** Fault mode of the stand-in store. With `count`, the mode ends after that many calls. */
export class StoreFaults {
    private mode: Mode = "none";
    private delay = 0;
    private remaining = Number.POSITIVE_INFINITY;

    private constructor() {}

    static create(): StoreFaults {
        return new StoreFaults();
    }

    /** Sets the mode from the body of `POST /v1/fault`. */
    set(body: { mode?: unknown; delayMs?: unknown; count?: unknown }): Result<void, string> {
        const mode = modes.find(known => known === body.mode);
        if (mode === undefined) {
            return Err(`mode is one of ${modes.join(", ")}`);
        }
        this.mode = mode;
        this.delay = typeof body.delayMs === "number" ? body.delayMs : 0;
        this.remaining = typeof body.count === "number" ? body.count : Number.POSITIVE_INFINITY;
        return Ok(undefined);
    }

    /** The fault of one call, and its delay in milliseconds (mode `slow`). */
    take(): { readonly mode: Mode; readonly delayMs: number } {
        if (this.remaining <= 0) {
            this.mode = "none";
        }
        this.remaining -= 1;
        return { mode: this.mode, delayMs: this.mode === "slow" ? this.delay : 0 };
    }
}
