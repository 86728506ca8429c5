import type { TaskState } from "@samphireward/core/task-state";
import { CellState } from "./cell-state.js";
import type { TaskRecord } from "./task-record.js";
import { TransitionCodec } from "./transition-codec.js";
import type { WorkerMode } from "./worker-mode.js";

type Row = readonly unknown[];

/** Number of columns of a task specification. */
const SpecColumns = 7;

/** Trailing columns that hold the usual value are left out: most tasks have neither checkpoint nor failures. */
const trim = (row: Row): Row => {
    const last = row.findLastIndex(value => value !== 0 && value !== "");
    return row.slice(0, last + 1);
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
        record.checkpoint ?? "",
        record.failures.length === 0 ? 0 : record.failures,
    ]);

const fromRow = (row: Row): TaskRecord => {
    const [state, wallMs, attempt, worker, output, cancel, checkpoint, failures] = row.slice(SpecColumns);
    return {
        spec: TransitionCodec.specFromRow(row),
        state: state as TaskState,
        wallMs: wallMs as number,
        attempt: (attempt ?? 0) as number,
        worker: ((worker as string | undefined) ?? "") === "" ? undefined : (worker as string),
        output: (output ?? "") as string,
        cancelRequested: cancel === 1,
        checkpoint: ((checkpoint as string | undefined) ?? "") === "" ? undefined : (checkpoint as string),
        failures: Array.isArray(failures) ? (failures as string[]) : [],
    };
};

/** A whole cell state for the snapshot: items of one task each after a head, or all of it as JSON text. */
export class CellStateCodec {
    static toItems(state: CellState): Row[] {
        const waitingAndActive = [...state.tasks.values()].filter(task => !state.ended.has(task.spec.key));
        const ended = [...state.ended].map(key => state.get(key) as TaskRecord);
        const rows = [...waitingAndActive, ...ended].map(toRow);
        return [[ended.length, [...state.workerModes]], ...rows];
    }

    /** An empty list is the state of a new cell. */
    static fromItems(items: readonly Row[]): CellState {
        const [head, ...rows] = items;
        if (head === undefined) {
            return CellState.create();
        }
        const [endedCount, modes] = head as [number, [string, WorkerMode][]];
        const records = rows.map(fromRow);
        const endedKeys = records.slice(records.length - endedCount).map(record => record.spec.key);
        return CellState.restore(records, endedKeys, modes);
    }

    static encode(state: CellState): string {
        return JSON.stringify(CellStateCodec.toItems(state));
    }

    /** Throws a `SyntaxError` for text that is not JSON. */
    static decode(text: string): CellState {
        return CellStateCodec.fromItems(JSON.parse(text) as Row[]);
    }
}
