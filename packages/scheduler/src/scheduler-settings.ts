import { RuntimeSettings } from "@samphireward/runtime/runtime-settings";
import * as Schema from "effect/Schema";

const weight = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

/** Settings of a scheduler process. */
export const SchedulerSettings = Schema.Struct({
    ...RuntimeSettings.fields,
    /** How the operators weigh the measures against each other (docs/placement.md). */
    placement: Schema.Struct({
        tailLatency: weight,
        batch: weight,
        load: weight,
        /** Predicted slowdown of latency-critical work above which batch tasks wait; 1 is none. */
        toleratedSlowdown: Schema.Finite.check(Schema.isGreaterThanOrEqualTo(1)),
    }),
});

export type SchedulerSettings = (typeof SchedulerSettings)["Type"];
