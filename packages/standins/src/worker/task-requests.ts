import { ResourcesSchema } from "@samphireward/core/resources-schema";
import * as Schema from "effect/Schema";

const positiveInt = Schema.Int.check(Schema.isGreaterThan(0));
const ownerFields = { cell: Schema.NonEmptyString, epoch: positiveInt };
const attemptFields = { key: Schema.NonEmptyString, attempt: positiveInt };
const attemptRefs = Schema.Array(Schema.Struct(attemptFields));

/** Schemas of the request bodies of the task port. */
export const TaskRequests = {
    start: Schema.Struct({
        ...ownerFields,
        ...attemptFields,
        resources: ResourcesSchema,
        leaseMs: positiveInt,
        payload: Schema.String,
        checkpoint: Schema.optionalKey(Schema.String),
    }),
    renew: Schema.Struct({ ...ownerFields, leaseMs: positiveInt, tasks: attemptRefs }),
    task: Schema.Struct({ ...ownerFields, ...attemptFields }),
    throttle: Schema.Struct({ ...ownerFields, ...attemptFields, share: Schema.Finite }),
    epoch: Schema.Struct(ownerFields),
    acknowledge: Schema.Struct({ ...ownerFields, outcomes: attemptRefs }),
    fault: Schema.Struct({
        failTasks: Schema.optionalKey(Schema.Boolean),
        failRequests: Schema.optionalKey(Schema.Boolean),
        silenceOpenConnections: Schema.optionalKey(Schema.Boolean),
        leaving: Schema.optionalKey(Schema.Boolean),
    }),
} as const;
