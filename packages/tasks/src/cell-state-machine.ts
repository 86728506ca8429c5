import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { CellState } from "./cell-state.js";
import { CellStateCodec } from "./cell-state-codec.js";
import type { StateRow } from "./state-row.js";
import type { Transition } from "./transition.js";
import { TransitionCodec } from "./transition-codec.js";
import type { TransitionRow } from "./transition-row.js";

/**
 * The cell state as the log builds it up. While an owner runs it takes over `onApply`, so that the state changes
 * exactly when the log says that a transition is durable, and a snapshot always belongs to the log's position.
 */
export class CellStateMachine extends LogStateMachine<TransitionRow, StateRow> {
    state = CellState.create();
    onApply: (transition: Transition) => void = transition => this.state.apply(transition);

    private constructor() {
        super();
    }

    static create(): CellStateMachine {
        return new CellStateMachine();
    }

    override apply(row: TransitionRow): void {
        this.onApply(TransitionCodec.fromRow(row));
    }

    override snapshot(): readonly StateRow[] {
        return CellStateCodec.toRows(this.state);
    }

    override restore(items: readonly StateRow[]): void {
        this.state = CellStateCodec.fromRows(items);
    }
}
