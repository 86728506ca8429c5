import { ResourcesSchema } from "@samphireward/core/resources-schema";
import * as Schema from "effect/Schema";

const positiveInt = Schema.Int.check(Schema.isGreaterThan(0));
const owner = { cell: Schema.NonEmptyString, epoch: positiveInt };
const ref = { key: Schema.NonEmptyString, attempt: positiveInt };
const refs = Schema.Array(Schema.Struct(ref));

/** Schemas of the bodies of the task port's calls. */
export const TaskRequests = {
    start: Schema.Struct({
        ...owner,
        ...ref,
        resources: ResourcesSchema,
        leaseMs: positiveInt,
        payload: Schema.String,
        checkpoint: Schema.optionalKey(Schema.String),
    }),
    renew: Schema.Struct({ ...owner, leaseMs: positiveInt, tasks: refs }),
    task: Schema.Struct({ ...owner, ...ref }),
    throttle: Schema.Struct({ ...owner, ...ref, share: Schema.Finite }),
    epoch: Schema.Struct(owner),
    acknowledge: Schema.Struct({ ...owner, outcomes: refs }),
    fault: Schema.Struct({
        failTasks: Schema.optionalKey(Schema.Boolean),
        failRequests: Schema.optionalKey(Schema.Boolean),
        silenceOpenConnections: Schema.optionalKey(Schema.Boolean),
        leaving: Schema.optionalKey(Schema.Boolean),
    }),
} as const;
