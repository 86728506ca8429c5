import type { SlowdownChange } from "./slowdown-change.js";

/** Predicts how much work of one class is slowed down by the other work on its worker. */
export abstract class SlowdownPredictor {
    /**
     * Slowdown (1 means none) of the class `affected` on a worker with `processors` processors. The worker runs the
     * given classes and `addedProcessors` more of the class `added`; the measured load (0 to 1) includes both.
     */
    abstract predict(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
    ): number;

    /** Writes the predictions without and with the added processors to `change`. */
    predictChange(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
        change: SlowdownChange,
    ): void {
        change.before = this.predict(affected, processorsByClass, added, 0, processors, load);
        change.after = this.predict(affected, processorsByClass, added, addedProcessors, processors, load);
    }
}
