import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { NameSchema } from "@samphireward/core/name-schema";
import { ResourcesSchema } from "@samphireward/core/resources-schema";
import * as Schema from "effect/Schema";

const positiveInt = Schema.Int.check(Schema.isGreaterThan(0));

const Worker = Schema.Struct({
    name: NameSchema,
    dataCentre: NameSchema,
    rack: NameSchema,
    /** Address of the task port. */
    taskListen: AddressSchema,
    /** Address of the service's port. */
    serviceListen: AddressSchema,
    capacity: ResourcesSchema,
    /** Concurrent requests of the service port; 8 when absent. */
    slots: Schema.optionalKey(positiveInt),
    /** Open connections of the service port; 64 when absent. */
    connections: Schema.optionalKey(positiveInt),
    /** Age of a usage report; 2 s when absent. */
    usageLag: Schema.optionalKey(DurationSchema),
});

/** Schema of the worker stand-in's settings file. One process hosts all listed workers. */
export const WorkerSettings = Schema.Struct({
    /** VM directory at which the workers register themselves. */
    directory: Schema.optionalKey(AddressSchema),
    workers: Schema.NonEmptyArray(Worker),
});

export type WorkerSettings = (typeof WorkerSettings)["Type"];
