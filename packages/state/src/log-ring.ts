import type { Counters } from "@samphireward/core/counters";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellKeys } from "./cell-keys.js";
import { decodeLogRecord } from "./decode-log-record.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { LogLimits } from "./log-limits.js";
import type { LogRecord } from "./log-record.js";
import { StoreErrorKind } from "./store-error-kind.js";
import { WriteOutcome } from "./write-outcome.js";

/** Number of slots read concurrently when the ring cannot be listed in one call. */
const MaxConcurrentReads = 16;

/** Ring of log slots of a cell, written by compare-and-swap on the last known revision of each slot. */
export class LogRing<T> {
    private readonly revisions: number[];

    private constructor(
        private readonly store: KeyValueStore,
        private readonly keys: CellKeys,
        private readonly counters: Counters,
        private readonly slotCount: number,
    ) {
        this.revisions = new Array<number>(slotCount).fill(0);
    }

    static create<T>(
        store: KeyValueStore,
        keys: CellKeys,
        counters: Counters,
        slots: number = LogLimits.ringSlots,
    ): LogRing<T> {
        return new LogRing(store, keys, counters, slots);
    }

    /** Whether the slot of a position is free, given a snapshot that includes all records up to `snapshotPosition`. */
    hasFreeSlot(position: number, snapshotPosition: number): boolean {
        return position - this.slotCount <= snapshotPosition;
    }

    /** Reads all slots, in one call if possible, and stores their revisions. Returns the records in log order. */
    async readAll(): Promise<Result<LogRecord<T>[], string>> {
        this.counters.add("log.reads");
        const listed = await this.store.list(this.keys.logPrefix);
        const entries = listed.isOk() ? Ok([...listed.value.entries]) : await this.readSlots();
        return entries.andThen(found => {
            this.revisions.fill(0);
            const records: LogRecord<T>[] = [];
            for (const entry of found) {
                const record = this.decodeEntry(entry);
                if (record === undefined) {
                    return Err(`${entry.key} holds no record`);
                }
                records.push(record);
            }
            return Ok(records.sort((a, b) => a.position - b.position));
        });
    }

    /** Writes a record into the slot of its position. After a lost response, reads the slot to resolve the outcome. */
    async write(record: LogRecord<T>, value: string): Promise<WriteOutcome<T>> {
        const index = record.position % this.slotCount;
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
            return this.classifySlot(record, current);
        }
        if (kind !== StoreErrorKind.MayBeApplied) {
            return WriteOutcome.notWritten();
        }
        return this.resolveLostResponse(record, index);
    }

    private async resolveLostResponse(record: LogRecord<T>, index: number): Promise<WriteOutcome<T>> {
        this.counters.add("log.reads");
        this.counters.add("log.lost-answers");
        const read = await this.store.get(this.keys.slot(index));
        if (read.isErr() || (read.value?.revision ?? 0) === this.revisions[index]) {
            // The write may still be in transit, so the same record must be written again.
            return WriteOutcome.unknown();
        }
        return this.classifySlot(record, read.value).afterLostResponse();
    }

    /** Derives the outcome of writing this record from a slot that does not have the expected revision. */
    private classifySlot(record: LogRecord<T>, current: KvEntry | undefined): WriteOutcome<T> {
        if (current === undefined) {
            return WriteOutcome.missing();
        }
        const found = this.decodeEntry(current);
        if (found === undefined || found.position < record.position) {
            return WriteOutcome.missing();
        }
        const isOurs = found.position === record.position && found.writer === record.writer;
        return isOurs ? WriteOutcome.durable() : WriteOutcome.occupied(found);
    }

    /** Decodes a slot and stores its revision; undefined if it holds no record. */
    private decodeEntry(entry: KvEntry): LogRecord<T> | undefined {
        const record = decodeLogRecord<T>(entry.value);
        if (record === undefined) {
            this.counters.add("log.unreadable");
            return undefined;
        }
        this.revisions[record.position % this.slotCount] = entry.revision;
        return record;
    }

    /** Reads the slots individually, because a list of large records may exceed the timeout of the store. */
    private async readSlots(): Promise<Result<KvEntry[], string>> {
        const found: KvEntry[] = [];
        for (let first = 0; first < this.slotCount; first += MaxConcurrentReads) {
            const window = Array.from(
                { length: Math.min(MaxConcurrentReads, this.slotCount - first) },
                (_, offset) => this.keys.slot(first + offset),
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
