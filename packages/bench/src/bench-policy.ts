import type { InterferenceModel } from "@samphireward/placement/interference-model";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { SlowdownPredictor } from "@samphireward/placement/slowdown-predictor";

/** A policy of one cell in the benchmark, with what it knows about interference. */
export interface BenchPolicy {
    readonly policy: PlacementPolicy;
    /** Used to choose the tasks that harm a service; the processor share decides without it. */
    readonly predictor?: SlowdownPredictor;
    /** Learns from the cell's reports. */
    readonly model?: InterferenceModel;
}
