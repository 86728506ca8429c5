import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellState } from "@samphireward/tasks/cell-state";
import { CellStateCodec } from "@samphireward/tasks/cell-state-codec";
import { TransitionCodec } from "@samphireward/tasks/transition-codec";
import type { LogRow } from "./log-row.js";

/**
 * The durable state of a cell as the log builds it up, for replay and snapshots. It is kept apart from the
 * owner's own copy, so that a snapshot never depends on when the owner takes note of a commit.
 */
export class CellStateMachine extends LogStateMachine<LogRow, LogRow> {
    private current = CellState.create();

    private constructor() {
        super();
    }

    static create(): CellStateMachine {
        return new CellStateMachine();
    }

    get state(): CellState {
        return this.current;
    }

    /** A copy for the owner, which changes it. */
    copy(): CellState {
        const { tasks, ended, workerModes } = this.current;
        return CellState.restore(tasks.values(), ended, workerModes);
    }

    override apply(row: LogRow): void {
        this.current.apply(TransitionCodec.fromRow(row));
    }

    override snapshot(): readonly LogRow[] {
        return CellStateCodec.toItems(this.current);
    }

    override restore(items: readonly LogRow[]): void {
        this.current = CellStateCodec.fromItems(items);
    }
}
