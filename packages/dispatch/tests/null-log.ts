import { EventLog } from "../src/event-log.js";

/** A log that nobody reads. */
export class NullLog extends EventLog {
    static create(): NullLog {
        return new NullLog();
    }

    override write(): void {
        return;
    }
}
