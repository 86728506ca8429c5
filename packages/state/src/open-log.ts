import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { LogRecord } from "./log-record.js";
import type { LogRing } from "./log-ring.js";
import type { LogStateMachine } from "./log-state-machine.js";
import { replayLog } from "./replay-log.js";
import type { SnapshotStore } from "./snapshot-store.js";

interface Options<T, S> {
    readonly ring: LogRing<T>;
    readonly snapshots: SnapshotStore<S>;
    readonly state: LogStateMachine<T, S>;
    readonly epoch: number;
    readonly writer: string;
}

/** Attempts to append the epoch record, each after a further record of the previous owner. */
const MaxAttempts = 100;

const staleEpoch = (epoch: number): Err<CodedError> =>
    Err(CodedError.create(ResultCode.StaleEpoch, `an epoch higher than ${epoch} has started`));

const unavailable = (message: string): Err<CodedError> =>
    Err(CodedError.create(ResultCode.StoreUnavailable, message));

const apply = <T, S>(state: LogStateMachine<T, S>, record: LogRecord<T>): void => {
    for (const transition of record.transitions) {
        state.apply(transition);
    }
};

/** Replays the log of a cell into the state and starts an epoch. Returns the position of its first record. */
export const openLog = async <T, S>(options: Options<T, S>): Promise<Result<number, CodedError>> => {
    const { ring, snapshots, state, epoch, writer } = options;
    const replayed = await replayLog(ring, snapshots);
    if (replayed.isErr()) {
        return replayed;
    }
    state.restore(replayed.value.items);
    replayed.value.records.forEach(record => apply(state, record));
    if (replayed.value.newestEpoch > epoch) {
        return staleEpoch(epoch);
    }
    let position = replayed.value.lastPosition + 1;
    for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
        const hasFreeSlot = ring.hasFreeSlot(position, snapshots.position);
        if (!hasFreeSlot && !(await snapshots.write(epoch, position - 1, state.snapshot()))) {
            return unavailable("the log is full and the snapshot that frees its slots could not be written");
        }
        const record: LogRecord<T> = { epoch, position, writer, transitions: [] };
        const outcome = await ring.write(record, JSON.stringify(record));
        if (outcome.kind === "durable") {
            return Ok(position);
        }
        if (outcome.occupant === undefined) {
            return unavailable("the record that starts the epoch could not be written");
        }
        if (outcome.occupant.epoch > epoch) {
            return staleEpoch(epoch);
        }
        if (outcome.occupant.position !== position) {
            return unavailable("the previous owner is still appending");
        }
        // The previous owner appended this record before it was fenced.
        apply(state, outcome.occupant);
        position += 1;
    }
    return unavailable("the previous owner is still appending");
};
