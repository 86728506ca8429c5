import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellState } from "@samphireward/tasks/cell-state";
import { CellStateCodec } from "@samphireward/tasks/cell-state-codec";
import { TransitionCodec } from "@samphireward/tasks/transition-codec";
import type { LogRow } from "./log-row.js";
import type { PoolMetrics } from "./pool-metrics.js";

/**
 * The durable state of a cell as the log builds it up, for replay and snapshots. It is kept apart from the
 * owner's own copy, so that a snapshot never depends on when the owner takes note of a commit.
 */
export class CellStateMachine extends LogStateMachine<LogRow, LogRow> {
    private current = CellState.create();
    private isReplayed = false;

    private constructor(private readonly metrics: PoolMetrics) {
        super();
    }

    static create(metrics: PoolMetrics): CellStateMachine {
        return new CellStateMachine(metrics);
    }

    get state(): CellState {
        return this.current;
    }

    /** Ends the replay: a copy for the owner, which changes it. Later transitions count for the metrics. */
    copyForOwner(): CellState {
        this.isReplayed = true;
        const { tasks, ended, workerModes } = this.current;
        return CellState.restore(tasks.values(), ended, workerModes);
    }

    override apply(row: LogRow): void {
        const transition = TransitionCodec.fromRow(row);
        if (this.isReplayed) {
            this.metrics.note(transition, this.current);
        }
        this.current.apply(transition);
    }

    override snapshot(): readonly LogRow[] {
        return CellStateCodec.toItems(this.current);
    }

    override restore(items: readonly LogRow[]): void {
        this.current = CellStateCodec.fromItems(items);
    }
}
