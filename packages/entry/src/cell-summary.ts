import * as Schema from "effect/Schema";

const count = Schema.Number;
const resources = Schema.Struct({ processors: count, memoryMb: count, accelerators: count });

/** Schema of a cell's state for operators, as its owner sends it. */
export const CellSummary = Schema.Struct({
    cell: Schema.String,
    owner: Schema.String,
    epoch: count,
    workers: Schema.Array(
        Schema.Struct({
            name: Schema.String,
            rack: Schema.String,
            state: Schema.String,
            capacity: resources,
            reserved: resources,
            tasks: count,
        }),
    ),
    queued: count,
    running: count,
    pools: Schema.Record(
        Schema.String,
        Schema.Struct({
            queued: count,
            running: count,
            finished: count,
            failed: count,
            evictions: count,
            /** Compressed base64 HdrHistogram of the time from submission to the first start, in microseconds. */
            waitHistogram: Schema.String,
        }),
    ),
});

export type CellSummary = (typeof CellSummary)["Type"];
