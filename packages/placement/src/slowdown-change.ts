/** Predicted slowdown of one class before and after a task is placed; reused between predictions. */
export interface SlowdownChange {
    before: number;
    after: number;
}
