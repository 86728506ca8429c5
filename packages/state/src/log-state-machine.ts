/** State built from the transitions of a log, which calls it synchronously and in log order. */
export abstract class LogStateMachine<T, S> {
    /** Applies one durable transition, during replay or after a commit, before `append` resolves. */
    abstract apply(transition: T): void;

    /** The complete state after the transitions applied so far, as items of far less than 1 MB each. */
    abstract snapshot(): readonly S[];

    /** Replaces the state by that of a snapshot; an empty list is the initial state. */
    abstract restore(items: readonly S[]): void;
}
