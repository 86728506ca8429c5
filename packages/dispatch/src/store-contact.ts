import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { StoreFailure } from "./store-failure.js";

/** Whether the store responds to the reads of one prefix or key; logs when that changes. */
export class StoreContact {
    /** Monotonic time of the store's last response. */
    lastResponseAtMs = -Infinity;
    private isLost = false;

    private constructor(
        private readonly prefix: string,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(prefix: string, clock: Clock, log: EventLog): StoreContact {
        return new StoreContact(prefix, clock, log);
    }

    noteResponse(): void {
        this.lastResponseAtMs = this.clock.nowMs();
        if (this.isLost) {
            this.isLost = false;
            this.log.write("store-regained", { prefix: this.prefix });
        }
    }

    noteFailure(failure: StoreFailure): void {
        if (!this.isLost) {
            this.isLost = true;
            this.log.write("store-lost", { prefix: this.prefix, failure });
        }
    }
}
