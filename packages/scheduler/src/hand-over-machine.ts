import type { HandedGrant } from "@samphireward/routing/handed-grant";
import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellStateMachine } from "@samphireward/tasks/cell-state-machine";
import { HandOverRow } from "./hand-over-row.js";
import type { LogRow } from "./log-row.js";

/** What a cell's log builds up: the tasks' state, and slot shares that an owner handed over on a planned stop. */
export class HandOverMachine extends LogStateMachine<LogRow, LogRow> {
    readonly tasks = CellStateMachine.create();
    private handed: readonly HandedGrant[] | undefined;

    private constructor() {
        super();
    }

    static create(): HandOverMachine {
        return new HandOverMachine();
    }

    /** Shares that the last owner handed over, unless a later owner has taken them. */
    get handedOver(): readonly HandedGrant[] | undefined {
        return this.handed;
    }

    override apply(row: LogRow): void {
        if (row[0] === HandOverRow.tag) {
            this.handed = row[1] as HandedGrant[] | undefined;
        } else {
            this.tasks.apply(row);
        }
    }

    override snapshot(): readonly LogRow[] {
        const handed = this.handed === undefined ? [] : [HandOverRow.of(this.handed)];
        return [...handed, ...this.tasks.snapshot()];
    }

    override restore(items: readonly LogRow[]): void {
        const first = items[0];
        const hasHandOver = first?.[0] === HandOverRow.tag;
        this.handed = hasHandOver ? (first[1] as HandedGrant[]) : undefined;
        this.tasks.restore(hasHandOver ? items.slice(1) : items);
    }
}
