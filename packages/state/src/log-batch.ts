import type { LogRecord } from "./log-record.js";
import type { QueuedAppend } from "./queued-append.js";

/** A record that is being written to the store, with the appends that it contains. */
export class LogBatch<T> {
    /** Whether an earlier attempt to write this record may have taken effect. */
    mayBeWritten = false;

    private constructor(
        readonly record: LogRecord<T>,
        /** The record, serialized as JSON. */
        readonly value: string,
        readonly appends: readonly QueuedAppend<T>[],
    ) {}

    static create<T>(
        head: Omit<LogRecord<T>, "transitions">,
        appends: readonly QueuedAppend<T>[],
    ): LogBatch<T> {
        const transitions = appends.flatMap(append => append.transitions);
        const json = appends
            .map(append => append.json)
            .filter(text => text !== "")
            .join(",");
        const value = `${JSON.stringify(head).slice(0, -1)},"transitions":[${json}]}`;
        return new LogBatch({ ...head, transitions }, value, appends);
    }
}
