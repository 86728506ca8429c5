import { EventLog } from "../src/event-log.js";

/** A log that discards all events. */
export class NullLog extends EventLog {
    static create(): NullLog {
        return new NullLog();
    }

    override write(): void {
        return;
    }
}
