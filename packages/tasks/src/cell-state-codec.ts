import type { TaskState } from "@samphireward/core/task-state";
import type { AttemptLoss } from "./attempt-loss.js";
import { CellState } from "./cell-state.js";
import type { LossVerdict } from "./loss-verdict.js";
import type { StateRow } from "./state-row.js";
import type { TaskRecord } from "./task-record.js";
import { TransitionCodec } from "./transition-codec.js";
import type { WorkerMode } from "./worker-mode.js";

type Row = StateRow;

/** First column of an item. Never reused for another kind, because snapshots of earlier versions are read. */
const Tag = { Task: 0, Ended: 1, WorkerMode: 2, Tombstone: 3 } as const;

/** Number of columns of a task specification. */
const SpecColumns = 7;

/** Omits trailing columns with the default value: most tasks have neither a checkpoint nor failures. */
const trim = (row: Row): Row => {
    const last = row.findLastIndex(value => value !== 0 && value !== "");
    return row.slice(0, last + 1);
};

const lossToRow = ({ attempt, worker, verdict, ranMs }: AttemptLoss): Row => [
    attempt,
    worker,
    verdict,
    ranMs,
];

const lossFromRow = (row: Row): AttemptLoss => {
    const [attempt, worker, verdict, ranMs] = row as [number, string, LossVerdict, number];
    return { attempt, worker, verdict, ranMs };
};

const toRow = (record: TaskRecord): Row =>
    trim([
        ...TransitionCodec.specToRow(record.spec),
        record.state,
        record.wallMs,
        record.attempt,
        record.worker ?? "",
        record.output,
        record.cancelRequested ? 1 : 0,
        record.checkpoint === undefined ? 0 : [record.checkpoint],
        record.failures.length === 0 ? 0 : record.failures,
        record.losses.length === 0 ? 0 : record.losses.map(lossToRow),
    ]);

const fromRow = (row: Row): TaskRecord => {
    const [state, wallMs, attempt, worker, output, cancel, checkpoint, failures, losses] =
        row.slice(SpecColumns);
    return {
        spec: TransitionCodec.specFromRow(row),
        state: state as TaskState,
        wallMs: (wallMs ?? 0) as number,
        attempt: (attempt ?? 0) as number,
        worker: ((worker as string | undefined) ?? "") === "" ? undefined : (worker as string),
        output: (output ?? "") as string,
        cancelRequested: cancel === 1,
        checkpoint: Array.isArray(checkpoint) ? (checkpoint[0] as string) : undefined,
        failures: Array.isArray(failures) ? (failures as string[]) : [],
        losses: Array.isArray(losses) ? (losses as Row[]).map(lossFromRow) : [],
    };
};

const toItems = (state: CellState): StateRow[] => {
    const rows: StateRow[] = [];
    for (const task of state.tasks.values()) {
        if (!state.ended.has(task.spec.key)) {
            rows.push([Tag.Task, ...toRow(task)]);
        }
    }
    for (const key of state.ended) {
        rows.push([Tag.Ended, ...toRow(state.get(key) as TaskRecord)]);
    }
    for (const entry of state.workerModes) {
        rows.push([Tag.WorkerMode, ...entry]);
    }
    for (const entry of state.tombstones) {
        rows.push([Tag.Tombstone, ...entry]);
    }
    return rows;
};

const fromItems = (rows: readonly StateRow[]): CellState => {
    const columnsOf = (tag: number): Row[] => rows.filter(row => row[0] === tag).map(row => row.slice(1));
    const ended = columnsOf(Tag.Ended).map(fromRow);
    return CellState.restore(
        [...columnsOf(Tag.Task).map(fromRow), ...ended],
        ended.map(record => record.spec.key),
        columnsOf(Tag.WorkerMode) as [string, WorkerMode][],
        columnsOf(Tag.Tombstone) as [string, number][],
    );
};

/**
 * Converts a cell state to snapshot items and back. Ended tasks come last among the tasks, in the order in
 * which they ended. Earlier versions leave out tombstones. An empty snapshot is a new cell.
 */
export const CellStateCodec = { toItems, fromItems } as const;
