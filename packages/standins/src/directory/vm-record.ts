import * as Schema from "effect/Schema";

/** Schema of a VM in the VM directory's protocol. */
export const VmRecord = Schema.Struct({
    name: Schema.String,
    role: Schema.String,
    taskAddress: Schema.String,
    serviceAddress: Schema.String,
    dataCentre: Schema.String,
    rack: Schema.String,
    capacity: Schema.Struct({
        processors: Schema.Number,
        memoryMb: Schema.Number,
        accelerators: Schema.Number,
    }),
    leaving: Schema.Boolean,
});

export type VmRecord = (typeof VmRecord)["Type"];
