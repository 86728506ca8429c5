import { ResourcesSchema } from "@samphireward/core/resources-schema";
import * as Schema from "effect/Schema";

/** Response to `GET /v1/cells`: each cell with its owner and workers. */
export const CellsResponse = Schema.Struct({
    cells: Schema.Array(
        Schema.Struct({
            cell: Schema.String,
            /** Name of the owning scheduler; empty when no scheduler owns the cell. */
            owner: Schema.String,
            epoch: Schema.Int,
            workers: Schema.Array(
                Schema.Struct({
                    name: Schema.String,
                    rack: Schema.String,
                    state: Schema.String,
                    capacity: ResourcesSchema,
                    reserved: ResourcesSchema,
                    /** Number of tasks on the worker. */
                    tasks: Schema.Int,
                }),
            ),
            queued: Schema.Int,
            running: Schema.Int,
        }),
    ),
});

export type CellsResponse = (typeof CellsResponse)["Type"];
