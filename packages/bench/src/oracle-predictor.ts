import { SlowdownPredictor } from "@samphireward/placement/slowdown-predictor";
import type { TrueInterference } from "./true-interference.js";
import type { SimClass } from "./sim-class.js";

/** Predicts with the true slowdowns of pairs. Loads and workload mixes are the same as for other policies. */
export class OraclePredictor extends SlowdownPredictor {
    private readonly shares: number[];
    private readonly indexes: ReadonlyMap<string, number>;

    private constructor(
        classes: readonly SimClass[],
        private readonly interference: TrueInterference,
    ) {
        super();
        this.shares = classes.map(() => 0);
        this.indexes = new Map(classes.map(({ name }, index) => [name, index]));
    }

    static create(classes: readonly SimClass[], interference: TrueInterference): OraclePredictor {
        return new OraclePredictor(classes, interference);
    }

    override predict(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
    ): number {
        this.shares.fill(0);
        for (const [name, reserved] of processorsByClass) {
            this.shares[this.indexOf(name)] = reserved / processors;
        }
        const addedIndex = this.indexOf(added);
        this.shares[addedIndex] = (this.shares[addedIndex] ?? 0) + addedProcessors / processors;
        return this.interference.slowdown(this.indexOf(affected), this.shares, load);
    }

    private indexOf(name: string): number {
        return this.indexes.get(name) ?? 0;
    }
}
