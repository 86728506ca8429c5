import { RuntimeSettings } from "@samphireward/runtime/runtime-settings";
import * as Schema from "effect/Schema";

const weight = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

/** Settings of a scheduler process. */
export const SchedulerSettings = Schema.Struct({
    ...RuntimeSettings.fields,
    /** Operators' weights of the placement measures relative to each other (docs/placement.md). */
    placement: Schema.Struct({
        tailLatency: weight,
        batch: weight,
        load: weight,
        /** Predicted slowdown of latency-critical work above which batch tasks wait; 1 means no slowdown. */
        toleratedSlowdown: Schema.Finite.check(Schema.isGreaterThanOrEqualTo(1)),
    }),
});

export type SchedulerSettings = (typeof SchedulerSettings)["Type"];
