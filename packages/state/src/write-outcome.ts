import type { LogRecord } from "./log-record.js";

/** What is known after one try to write a record into its slot. */
export class WriteOutcome<T> {
    private constructor(
        readonly kind: "durable" | "not-written" | "unknown" | "occupied" | "missing",
        /** The record that is in the slot in its place. */
        readonly occupant?: LogRecord<T>,
        /** Whether this try may have taken effect before what was found in the slot. */
        readonly mayBeWritten = false,
    ) {}

    static durable<T>(): WriteOutcome<T> {
        return new WriteOutcome("durable");
    }

    /** This try did not take effect and will not. */
    static notWritten<T>(): WriteOutcome<T> {
        return new WriteOutcome("not-written");
    }

    /** This try may have taken effect or may still do so. */
    static unknown<T>(): WriteOutcome<T> {
        return new WriteOutcome("unknown", undefined, true);
    }

    /** Another record of the same or a higher position is in the slot. */
    static occupied<T>(occupant: LogRecord<T>): WriteOutcome<T> {
        return new WriteOutcome("occupied", occupant);
    }

    /** The same finding after a write whose answer was lost. */
    afterLostAnswer(): WriteOutcome<T> {
        return new WriteOutcome(this.kind, this.occupant, true);
    }

    /** The slot was deleted or went back to an earlier record; no owner does either, so nothing more is written. */
    static missing<T>(): WriteOutcome<T> {
        return new WriteOutcome("missing");
    }
}
