import * as Schema from "effect/Schema";
import { AddressSchema } from "./address-schema.js";
import { ResourcesSchema } from "./resources-schema.js";

/** Schema of a worker in the VM directory's response (docs/design.md, section 14.2). */
export const WorkerInfoSchema = Schema.Struct({
    name: Schema.String,
    role: Schema.String,
    taskAddress: AddressSchema,
    serviceAddress: AddressSchema,
    dataCentre: Schema.String,
    rack: Schema.String,
    capacity: ResourcesSchema,
    leaving: Schema.Boolean,
});
