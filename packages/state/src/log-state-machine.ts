/** The state that a log's transitions build up. The log calls it synchronously and in log order. */
export abstract class LogStateMachine<T, S> {
    /** Applies one durable transition, during replay and after each commit, before `append` resolves. */
    abstract apply(transition: T): void;

    /** The whole state after the transitions applied so far, in items of far less than 1 MB. */
    abstract snapshot(): readonly S[];

    /** Replaces the state by a snapshot's; an empty list is the initial state. */
    abstract restore(items: readonly S[]): void;
}
