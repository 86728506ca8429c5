import type { LogRecord } from "./log-record.js";

/** Outcome of one attempt to write a record into its slot. */
export class WriteOutcome<T> {
    private constructor(
        readonly kind: "durable" | "not-written" | "unknown" | "occupied" | "missing",
        /** The other record that the slot holds. */
        readonly occupant?: LogRecord<T>,
        /** Whether this attempt may have taken effect before the slot reached its current content. */
        readonly mayBeWritten = false,
    ) {}

    static durable<T>(): WriteOutcome<T> {
        return new WriteOutcome("durable");
    }

    /** This attempt has not taken effect and will not. */
    static notWritten<T>(): WriteOutcome<T> {
        return new WriteOutcome("not-written");
    }

    /** This attempt may have taken effect, or may still take effect. */
    static unknown<T>(): WriteOutcome<T> {
        return new WriteOutcome("unknown", undefined, true);
    }

    /** The slot holds another record of the same or a higher position. */
    static occupied<T>(occupant: LogRecord<T>): WriteOutcome<T> {
        return new WriteOutcome("occupied", occupant);
    }

    /** The same outcome, for a write whose response was lost. */
    afterLostResponse(): WriteOutcome<T> {
        return new WriteOutcome(this.kind, this.occupant, true);
    }

    /** The slot holds no record or an earlier one. No owner does either, so this owner stops writing. */
    static missing<T>(): WriteOutcome<T> {
        return new WriteOutcome("missing");
    }
}
