import type { SlowdownChange } from "./slowdown-change.js";

/** Predicts how much work of one class is slowed down by what runs beside it. */
export abstract class SlowdownPredictor {
    /**
     * Slowdown (1 means none) of `affected` on a worker with `processors` processors, the given classes with
     * their processors, `addedProcessors` more of `added`, and a measured load (0 to 1) that includes them.
     */
    abstract predict(
        affected: string,
        classes: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
    ): number;

    /** Both predictions at once, with and without what is added, written to `change`. */
    predictChange(
        affected: string,
        classes: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
        change: SlowdownChange,
    ): void {
        change.before = this.predict(affected, classes, added, 0, processors, load);
        change.after = this.predict(affected, classes, added, addedProcessors, processors, load);
    }
}
