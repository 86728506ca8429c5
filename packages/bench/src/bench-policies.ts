import { FirstFitPolicy } from "@samphireward/placement/first-fit-policy";
import { InterferenceAwarePolicy } from "@samphireward/placement/interference-aware-policy";
import { InterferenceModel } from "@samphireward/placement/interference-model";
import type { InterferenceWeights } from "@samphireward/placement/interference-weights";
import { LeastLoadedPolicy } from "@samphireward/placement/least-loaded-policy";
import { LoadOnlyPolicy } from "@samphireward/placement/load-only-policy";
import type { BenchPolicy } from "./bench-policy.js";
import type { TrueInterference } from "./true-interference.js";
import { OraclePredictor } from "./oracle-predictor.js";
import type { UserProfile } from "./user-profile.js";

const weightsOf = ({ classes, weights, toleratedSlowdown }: UserProfile): InterferenceWeights => ({
    tailLatency: weights.tail,
    batch: weights.throughput,
    load: 0.1,
    toleratedSlowdown,
    latencyCriticalClasses: new Set(classes.filter(({ kind }) => kind !== "batch").map(({ name }) => name)),
});

type PolicyFactory = (profile: UserProfile, interference: TrueInterference) => BenchPolicy;

/** Policy factories by name, called once per cell. Cells share no state: their owners are different processes. */
export const benchPolicies: Readonly<Record<string, PolicyFactory>> = {
    "first-fit": () => ({ policy: FirstFitPolicy.create() }),
    "least-loaded": () => ({ policy: LeastLoadedPolicy.create() }),
    "load-only": () => ({ policy: LoadOnlyPolicy.create() }),
    "interference-aware": profile => {
        const model = InterferenceModel.create();
        return { policy: InterferenceAwarePolicy.create(model, weightsOf(profile)), predictor: model, model };
    },
    oracle: (profile, interference) => {
        const predictor = OraclePredictor.create(profile.classes, interference);
        return { policy: InterferenceAwarePolicy.create(predictor, weightsOf(profile), "oracle"), predictor };
    },
};
