/** Predicted slowdown of one class before and after a task is placed. The object is reused for many predictions. */
export interface SlowdownChange {
    before: number;
    after: number;
}
