import type { HandedGrant } from "@samphireward/routing/handed-grant";
import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellState } from "@samphireward/tasks/cell-state";
import { CellStateCodec } from "@samphireward/tasks/cell-state-codec";
import { TransitionCodec } from "@samphireward/tasks/transition-codec";
import { HandOverRow } from "./hand-over-row.js";
import type { LogRow } from "./log-row.js";
import type { PoolMetrics } from "./pool-metrics.js";

/**
 * The durable state of a cell as the log builds it up, for replay and snapshots. It is kept apart from the
 * owner's own copy, so that a snapshot never depends on when the owner takes note of a commit.
 */
export class CellStateMachine extends LogStateMachine<LogRow, LogRow> {
    private current = CellState.create();
    private isReplayed = false;
    private handed: readonly HandedGrant[] | undefined;

    private constructor(private readonly metrics: PoolMetrics) {
        super();
    }

    static create(metrics: PoolMetrics): CellStateMachine {
        return new CellStateMachine(metrics);
    }

    /** Slot shares that the last owner handed over on a planned stop, unless a later owner has taken them. */
    get handedOver(): readonly HandedGrant[] | undefined {
        return this.handed;
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
        if (row[0] === HandOverRow.tag) {
            this.handed = row[1] as HandedGrant[] | undefined;
            return;
        }
        const transition = TransitionCodec.fromRow(row);
        if (this.isReplayed) {
            this.metrics.note(transition, this.current);
        }
        this.current.apply(transition);
    }

    override snapshot(): readonly LogRow[] {
        const handed = this.handed === undefined ? [] : [HandOverRow.of(this.handed)];
        return [...handed, ...CellStateCodec.toItems(this.current)];
    }

    override restore(items: readonly LogRow[]): void {
        const [first, ...rest] = items;
        const hasHandOver = first?.[0] === HandOverRow.tag;
        this.handed = hasHandOver ? (first[1] as HandedGrant[]) : undefined;
        this.current = CellStateCodec.fromItems(hasHandOver ? rest : items);
    }
}
