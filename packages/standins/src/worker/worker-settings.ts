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
    /** Address of the service port. */
    serviceListen: AddressSchema,
    capacity: ResourcesSchema,
    /** Maximum number of concurrent requests on the service port; 8 if absent. */
    slots: Schema.optionalKey(positiveInt),
    /** Maximum number of open connections on the service port; 64 if absent. */
    connections: Schema.optionalKey(positiveInt),
    /** Age of a usage report; 2 s if absent. */
    usageLag: Schema.optionalKey(DurationSchema),
});

/** Schema of the settings file of `samphireward-standin-worker`. One process hosts all listed workers. */
export const WorkerSettings = Schema.Struct({
    /** Address of the VM directory with which the workers register; they do not register if absent. */
    directory: Schema.optionalKey(AddressSchema),
    workers: Schema.NonEmptyArray(Worker),
});

export type WorkerSettings = (typeof WorkerSettings)["Type"];
