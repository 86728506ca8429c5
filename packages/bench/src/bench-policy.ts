import type { InterferenceModel } from "@samphireward/placement/interference-model";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { SlowdownPredictor } from "@samphireward/placement/slowdown-predictor";

/** A placement policy of one cell in the benchmark, with its source of interference predictions. */
export interface BenchPolicy {
    readonly policy: PlacementPolicy;
    /** Predicts which tasks slow down a service; without it, their processor shares are used. */
    readonly predictor?: SlowdownPredictor;
    /** Trained with the cell's usage reports. */
    readonly model?: InterferenceModel;
}
