import { EventLog } from "../src/event-log.js";

/** A log that keeps its lines for the test. */
export class RecordingLog extends EventLog {
    readonly lines: Readonly<Record<string, unknown>>[] = [];

    static create(): RecordingLog {
        return new RecordingLog();
    }

    override write(event: string, fields: Readonly<Record<string, unknown>>): void {
        this.lines.push({ event, ...fields });
    }
}
