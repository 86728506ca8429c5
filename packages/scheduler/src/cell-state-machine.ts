import type { HandOverGrant } from "@samphireward/routing/hand-over-grant";
import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellState } from "@samphireward/tasks/cell-state";
import { CellStateCodec } from "@samphireward/tasks/cell-state-codec";
import { TransitionCodec } from "@samphireward/tasks/transition-codec";
import { HandOverRow } from "./hand-over-row.js";
import type { LogRow } from "./log-row.js";

/**
 * State that a cell's log builds up: the tasks, and slot shares that an owner handed over on a planned stop.
 * The owner keeps its own copy, so that a snapshot does not depend on when the owner applies a commit.
 */
export class CellStateMachine extends LogStateMachine<LogRow, LogRow> {
    private current = CellState.create();
    private handedOverGrants: readonly HandOverGrant[] | undefined;

    private constructor() {
        super();
    }

    static create(): CellStateMachine {
        return new CellStateMachine();
    }

    /** Shares that the last owner handed over, unless a later owner has taken them. */
    get handedOver(): readonly HandOverGrant[] | undefined {
        return this.handedOverGrants;
    }

    /** The durable state of the tasks. */
    get state(): CellState {
        return this.current;
    }

    /** A copy of the tasks' state, for the owner to change. */
    copyState(): CellState {
        return CellStateCodec.fromItems(CellStateCodec.toItems(this.current));
    }

    override apply(row: LogRow): void {
        if (row[0] === HandOverRow.tag) {
            this.handedOverGrants = row[1] as HandOverGrant[] | undefined;
        } else {
            this.current.apply(TransitionCodec.fromRow(row));
        }
    }

    override snapshot(): readonly LogRow[] {
        const handed = this.handedOverGrants === undefined ? [] : [HandOverRow.of(this.handedOverGrants)];
        return [...handed, ...CellStateCodec.toItems(this.current)];
    }

    override restore(items: readonly LogRow[]): void {
        const first = items[0];
        const hasHandOver = first?.[0] === HandOverRow.tag;
        this.handedOverGrants = hasHandOver ? (first[1] as HandOverGrant[]) : undefined;
        this.current = CellStateCodec.fromItems(hasHandOver ? items.slice(1) : items);
    }
}
