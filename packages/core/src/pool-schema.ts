import * as Schema from "effect/Schema";
import { NameSchema } from "./name-schema.js";
import { ResourcesSchema } from "./resources-schema.js";
import { WorkClass } from "./work-class.js";

const positiveInt = Schema.Int.check(Schema.isGreaterThan(0));

/** Schema of one row of the pools table. */
export const PoolSchema = Schema.Struct({
    class: Schema.Literals([WorkClass.LatencyCritical, WorkClass.Batch]),
    team: NameSchema,
    zones: Schema.NonEmptyArray(NameSchema),
    /** Kind of work for the interference model; pools with equal values share estimates. */
    interferenceClass: NameSchema,
    /** Only for pools that serve requests: what each worker in the zones reserves for the service. */
    service: Schema.optionalKey(
        Schema.Struct({
            name: NameSchema,
            reserve: ResourcesSchema,
            slotsPerWorker: positiveInt,
            connectionsPerWorker: positiveInt,
        }),
    ),
    /** Resources of a task that declares none. */
    taskDefault: Schema.optionalKey(ResourcesSchema),
});
