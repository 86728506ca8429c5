import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { LogRecord } from "./log-record.js";
import type { LogRing } from "./log-ring.js";
import type { ReplayResult } from "./replay-result.js";
import type { SnapshotStore } from "./snapshot-store.js";

/** Attempts to read the log; one fails when a previous owner writes a snapshot between its two reads. */
const MaxAttempts = 5;

const unavailable = (message: string): Err<CodedError> =>
    Err(CodedError.create(ResultCode.StoreUnavailable, `the log cannot be read: ${message}`));

/** The records after a position; `undefined` when one is missing. */
const contiguousAfter = <T>(
    position: number,
    records: readonly LogRecord<T>[],
): LogRecord<T>[] | undefined => {
    const later = records.filter(record => record.position > position);
    const isContiguous = later.every((record, index) => record.position === position + 1 + index);
    return isContiguous ? later : undefined;
};

/** Reads the snapshot of a cell and the records after it. */
export const replayLog = async <T, S>(
    ring: LogRing<T>,
    snapshots: SnapshotStore<S>,
): Promise<Result<ReplayResult<T, S>, CodedError>> => {
    for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
        const items = await snapshots.read();
        if (items.isErr()) {
            return unavailable(items.error);
        }
        const all = await ring.readAll();
        if (all.isErr()) {
            return unavailable(all.error);
        }
        const records = contiguousAfter(snapshots.position, all.value);
        if (items.value !== undefined && records !== undefined) {
            const lastPosition = snapshots.position + records.length;
            // The snapshot may already include the newest record, so its epoch is taken from the whole ring.
            const newestEpoch = all.value.at(-1)?.epoch ?? 0;
            return Ok({ items: items.value, records, lastPosition, newestEpoch });
        }
    }
    return unavailable("records after the snapshot are missing");
};
