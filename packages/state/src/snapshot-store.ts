import type { Counters } from "@samphireward/core/counters";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellKeys } from "./cell-keys.js";
import { decodeSnapshotManifest } from "./decode-snapshot-manifest.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { LogLimits } from "./log-limits.js";
import { packItems } from "./pack-items.js";
import type { SnapshotManifest } from "./snapshot-manifest.js";
import { StoreErrorKind } from "./store-error-kind.js";

const parseList = <S>(text: string): readonly S[] | undefined => {
    try {
        const value: unknown = JSON.parse(text);
        return Array.isArray(value) ? (value as S[]) : undefined;
    } catch {
        return undefined;
    }
};

/**
 * Reads and writes the snapshot of a cell. The manifest under the key `snapshot` is written by compare-and-swap and
 * determines the current snapshot. The parts of a large snapshot have keys that are used only once, so that two
 * owners never write the same part. Parts are deleted only after a later write of `snapshot` has succeeded: from then
 * on no other write can refer to them.
 */
export class SnapshotStore<S> {
    private revision = 0;
    private includedPosition = 0;
    private currentPartKeys: readonly string[] = [];
    private readonly partRevisions = new Map<string, number>();
    private attemptNumber = 0;

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

    /** Reads the newest snapshot. Returns `undefined` when a part was replaced during the read; read again then. */
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
        this.recordPartRevisions(listed.value.entries);
        const parts = this.currentPartKeys.map(key => values.get(key)?.value);
        if (parts.includes(undefined)) {
            return Ok(undefined);
        }
        const items = [...(manifest.value?.items ?? [])];
        for (const [index, part] of parts.entries()) {
            const partItems = parseList<S>(part ?? "");
            if (partItems === undefined) {
                return Err(`${this.currentPartKeys[index]} holds no part of a snapshot`);
            }
            // A part may hold more items than a call takes as arguments.
            partItems.forEach(item => items.push(item));
        }
        return Ok(items);
    }

    /** Writes a snapshot. Returns whether the store holds a snapshot that includes `position`. */
    async write(epoch: number, position: number, items: readonly S[]): Promise<boolean> {
        if (this.includedPosition >= position) {
            return true;
        }
        const texts = items.map(item => JSON.stringify(item));
        const parts = packItems(texts, LogLimits.maxSnapshotPartBytes);
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
        await this.deleteUnusedParts(partKeys);
        return true;
    }

    private async readManifest(): Promise<Result<SnapshotManifest<S> | undefined, string>> {
        this.counters.add("snapshot.reads");
        const read = await this.store.get(this.keys.snapshot);
        if (read.isErr()) {
            return Err(read.error.message);
        }
        const entry = read.value;
        const manifest = entry && decodeSnapshotManifest<S>(entry.value);
        if (entry !== undefined && manifest === undefined) {
            this.counters.add("snapshot.unreadable");
            return Err(`${this.keys.snapshot} holds no snapshot`);
        }
        this.revision = entry?.revision ?? 0;
        this.includedPosition = manifest?.position ?? 0;
        this.currentPartKeys = manifest?.parts ?? [];
        return Ok(manifest);
    }

    /** Reads the manifest after a conflict or a lost response; the next attempt starts from its current revision. */
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
        this.attemptNumber += 1;
        const keys: string[] = [];
        for (const [index, part] of parts.entries()) {
            const key = `${this.keys.snapshotPartPrefix}${epoch}.${position}.${this.attemptNumber}/${index}`;
            this.countWrite(part);
            const written = await this.store.put(key, part, 0);
            if (written.isErr()) {
                return undefined;
            }
            this.partRevisions.set(key, written.value);
            keys.push(key);
        }
        return keys;
    }

    private async deleteUnusedParts(partKeys: readonly string[]): Promise<void> {
        this.currentPartKeys = partKeys;
        for (const [key, revision] of this.partRevisions) {
            if (!partKeys.includes(key)) {
                this.counters.add("snapshot.writes");
                const deleted = await this.store.delete(key, revision);
                // A part that may still be there is deleted after the next snapshot.
                if (deleted.isOk() || deleted.error.kind === StoreErrorKind.Conflict) {
                    this.partRevisions.delete(key);
                }
            }
        }
    }

    private recordPartRevisions(entries: readonly KvEntry[]): void {
        for (const entry of entries) {
            this.partRevisions.set(entry.key, entry.revision);
        }
    }

    private countWrite(value: string): void {
        this.counters.add("snapshot.writes");
        this.counters.add("snapshot.bytes", Buffer.byteLength(value));
    }
}
