import type { Counters } from "@samphireward/core/counters";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellKeys } from "./cell-keys.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { LogLimits } from "./log-limits.js";
import { packItems } from "./pack-items.js";
import type { SnapshotManifest } from "./snapshot-manifest.js";
import { StoreErrorKind } from "./store-error-kind.js";

/**
 * Reads and writes a cell's snapshot. The key `snapshot` is written by compare-and-swap and decides which
 * snapshot counts. Parts of a large one have names that are used once, so that two owners never write the same
 * part. Parts are deleted only when a later write of `snapshot` has succeeded: from then on no other write can
 * still name them.
 */
export class SnapshotStore<S> {
    private revision = 0;
    private includedPosition = 0;
    private liveParts: readonly string[] = [];
    private readonly unusedParts = new Map<string, number>();
    private attempt = 0;

    private constructor(
        private readonly store: KeyValueStore,
        private readonly keys: CellKeys,
        private readonly writer: string,
        private readonly counters: Counters,
    ) {}

    static create<S>(
        store: KeyValueStore,
        keys: CellKeys,
        writer: string,
        counters: Counters,
    ): SnapshotStore<S> {
        return new SnapshotStore(store, keys, writer, counters);
    }

    /** Last position that the newest known snapshot includes. */
    get position(): number {
        return this.includedPosition;
    }

    /** Reads the newest snapshot. `undefined` as a value: a part was replaced meanwhile; read again. */
    async read(): Promise<Result<readonly S[] | undefined, string>> {
        const manifest = await this.readManifest();
        if (manifest.isErr()) {
            return manifest;
        }
        this.counters.add("snapshot.reads");
        const listed = await this.store.list(this.keys.snapshotPartPrefix);
        if (listed.isErr()) {
            return Err(listed.error.message);
        }
        const values = new Map(listed.value.entries.map(entry => [entry.key, entry]));
        this.noteUnused(listed.value.entries);
        const parts = this.liveParts.map(key => values.get(key)?.value);
        if (parts.includes(undefined)) {
            return Ok(undefined);
        }
        const fromParts = parts.flatMap(part => JSON.parse(part ?? "[]") as S[]);
        return Ok([...(manifest.value?.items ?? []), ...fromParts]);
    }

    /** Writes a snapshot. Returns whether a snapshot that includes `position` is durable. */
    async write(epoch: number, position: number, items: readonly S[]): Promise<boolean> {
        if (this.includedPosition >= position) {
            return true;
        }
        const texts = items.map(item => JSON.stringify(item));
        const parts = packItems(texts, LogLimits.snapshotPartBytes);
        const partKeys = parts.length > 1 ? await this.writeParts(epoch, position, parts) : [];
        if (partKeys === undefined) {
            return false;
        }
        const inline = parts.length > 1 ? "[]" : (parts[0] ?? "[]");
        const head = JSON.stringify({ epoch, position, writer: this.writer, parts: partKeys });
        const value = `${head.slice(0, -1)},"items":${inline}}`;
        this.countWrite(value);
        const written = await this.store.put(this.keys.snapshot, value, this.revision);
        if (written.isErr()) {
            return this.resolveFailure(written.error.kind, position);
        }
        this.revision = written.value;
        this.includedPosition = position;
        await this.deleteUnused(partKeys);
        return true;
    }

    private async readManifest(): Promise<Result<SnapshotManifest<S> | undefined, string>> {
        this.counters.add("snapshot.reads");
        const read = await this.store.get(this.keys.snapshot);
        if (read.isErr()) {
            return Err(read.error.message);
        }
        const entry = read.value;
        const manifest = entry === undefined ? undefined : (JSON.parse(entry.value) as SnapshotManifest<S>);
        this.revision = entry?.revision ?? 0;
        this.includedPosition = manifest?.position ?? 0;
        this.liveParts = manifest?.parts ?? [];
        return Ok(manifest);
    }

    /** After a conflict or a lost answer the next attempt starts from what the store holds now. */
    private async resolveFailure(kind: StoreErrorKind, position: number): Promise<boolean> {
        if (kind === StoreErrorKind.NotApplied) {
            return false;
        }
        const manifest = await this.readManifest();
        return manifest.isOk() && this.includedPosition >= position;
    }

    private async writeParts(
        epoch: number,
        position: number,
        parts: readonly string[],
    ): Promise<string[] | undefined> {
        this.attempt += 1;
        const keys: string[] = [];
        for (const [index, part] of parts.entries()) {
            const key = `${this.keys.snapshotPartPrefix}${epoch}.${position}.${this.attempt}/${index}`;
            this.countWrite(part);
            const written = await this.store.put(key, part, 0);
            if (written.isErr()) {
                return undefined;
            }
            this.unusedParts.set(key, written.value);
            keys.push(key);
        }
        return keys;
    }

    private async deleteUnused(liveParts: readonly string[]): Promise<void> {
        this.liveParts = liveParts;
        for (const [key, revision] of this.unusedParts) {
            if (!liveParts.includes(key)) {
                this.counters.add("snapshot.writes");
                await this.store.delete(key, revision);
                this.unusedParts.delete(key);
            }
        }
    }

    private noteUnused(entries: readonly KvEntry[]): void {
        for (const entry of entries) {
            this.unusedParts.set(entry.key, entry.revision);
        }
    }

    private countWrite(value: string): void {
        this.counters.add("snapshot.writes");
        this.counters.add("snapshot.bytes", Buffer.byteLength(value));
    }
}
