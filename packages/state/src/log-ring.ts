import type { Counters } from "@samphireward/core/counters";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellKeys } from "./cell-keys.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { LogLimits } from "./log-limits.js";
import type { LogRecord } from "./log-record.js";
import { StoreErrorKind } from "./store-error-kind.js";
import { WriteOutcome } from "./write-outcome.js";

/** Slots read at the same time when the ring cannot be listed in one call. */
const ReadWindow = 16;

/** A cell's ring of log slots, written by compare-and-swap on each slot's last known revision. */
export class LogRing<T> {
    private readonly revisions: number[];

    private constructor(
        private readonly store: KeyValueStore,
        private readonly keys: CellKeys,
        private readonly counters: Counters,
        private readonly slots: number,
    ) {
        this.revisions = new Array<number>(slots).fill(0);
    }

    static create<T>(
        store: KeyValueStore,
        keys: CellKeys,
        counters: Counters,
        slots: number = LogLimits.ringSlots,
    ): LogRing<T> {
        return new LogRing(store, keys, counters, slots);
    }

    /** Whether a position's slot is free, when a snapshot includes all records up to `snapshotPosition`. */
    hasRoom(position: number, snapshotPosition: number): boolean {
        return position - this.slots <= snapshotPosition;
    }

    /** Reads all slots, in one call when possible, and remembers their revisions. Records are in log order. */
    async readAll(): Promise<Result<LogRecord<T>[], string>> {
        this.counters.add("log.reads");
        const listed = await this.store.list(this.keys.logPrefix);
        const entries = listed.isOk() ? Ok([...listed.value.entries]) : await this.readSlots();
        return entries.map(found => {
            this.revisions.fill(0);
            const records = found.map(entry => this.remember(entry));
            return records.sort((a, b) => a.position - b.position);
        });
    }

    /** Writes a record into the slot of its position. A lost answer is resolved by reading the slot. */
    async write(record: LogRecord<T>, value: string): Promise<WriteOutcome<T>> {
        const index = record.position % this.slots;
        this.counters.add("log.writes");
        this.counters.add("log.bytes", Buffer.byteLength(value));
        const revision = this.revisions[index] ?? 0;
        const written = await this.store.put(this.keys.slot(index), value, revision);
        if (written.isOk()) {
            this.revisions[index] = written.value;
            return WriteOutcome.durable();
        }
        const { kind, current } = written.error;
        if (kind === StoreErrorKind.Conflict) {
            return this.judge(record, current);
        }
        if (kind !== StoreErrorKind.MayBeApplied) {
            return WriteOutcome.notWritten();
        }
        return this.reread(record, index);
    }

    private async reread(record: LogRecord<T>, index: number): Promise<WriteOutcome<T>> {
        this.counters.add("log.reads");
        this.counters.add("log.lost-answers");
        const read = await this.store.get(this.keys.slot(index));
        if (read.isErr() || (read.value?.revision ?? 0) === this.revisions[index]) {
            // The write may still be delayed on its way, so the same record must be written again.
            return WriteOutcome.unknown();
        }
        return this.judge(record, read.value).afterLostAnswer();
    }

    /** Decides what a slot whose revision is not the expected one says about this record. */
    private judge(record: LogRecord<T>, current: KvEntry | undefined): WriteOutcome<T> {
        if (current === undefined) {
            return WriteOutcome.missing();
        }
        const found = this.remember(current);
        if (found.position < record.position) {
            return WriteOutcome.missing();
        }
        const isOurs = found.position === record.position && found.writer === record.writer;
        return isOurs ? WriteOutcome.durable() : WriteOutcome.occupied(found);
    }

    private remember(entry: KvEntry): LogRecord<T> {
        const record = JSON.parse(entry.value) as LogRecord<T>;
        this.revisions[record.position % this.slots] = entry.revision;
        return record;
    }

    /** Reads slot by slot; a list of large records may not arrive within the store's time limit. */
    private async readSlots(): Promise<Result<KvEntry[], string>> {
        const found: KvEntry[] = [];
        for (let first = 0; first < this.slots; first += ReadWindow) {
            const window = Array.from({ length: Math.min(ReadWindow, this.slots - first) }, (_, offset) =>
                this.keys.slot(first + offset),
            );
            this.counters.add("log.reads", window.length);
            const reads = await Promise.all(window.map(key => this.store.get(key)));
            for (const read of reads) {
                if (read.isErr()) {
                    return Err(read.error.message);
                }
                found.push(...(read.value === undefined ? [] : [read.value]));
            }
        }
        return Ok(found);
    }
}
