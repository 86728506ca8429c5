import { LogStateMachine } from "../log-state-machine.js";

/** State machine for tests that holds all transitions in log order. */
export class ListStateMachine<T> extends LogStateMachine<T, T> {
    items: T[] = [];

    private constructor() {
        super();
    }

    static create<T>(): ListStateMachine<T> {
        return new ListStateMachine();
    }

    override apply(transition: T): void {
        this.items.push(transition);
    }

    override snapshot(): readonly T[] {
        return this.items;
    }

    override restore(items: readonly T[]): void {
        this.items = [...items];
    }
}
