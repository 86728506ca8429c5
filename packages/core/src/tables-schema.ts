import * as Schema from "effect/Schema";
import { NameSchema } from "./name-schema.js";
import { PoolSchema } from "./pool-schema.js";
import { ResourcesSchema } from "./resources-schema.js";
import { RouteSchema } from "./route-schema.js";

/** Schema of the two tables: `routes` is the routes file, the other fields are the pools file. */
export const TablesSchema = Schema.Struct({
    routes: Schema.Record(NameSchema, RouteSchema),
    /** Data centres with their region and the number of cells that each is divided into. */
    zones: Schema.Record(
        NameSchema,
        Schema.Struct({
            region: NameSchema,
            cells: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 64 })),
        }),
    ),
    /** Links between regions; `bitsPerSecond` is the bandwidth that requests may use in each direction. */
    links: Schema.Record(
        NameSchema,
        Schema.Struct({
            between: Schema.Tuple([NameSchema, NameSchema]),
            bitsPerSecond: Schema.Int.check(Schema.isGreaterThan(0)),
        }),
    ),
    teams: Schema.Record(NameSchema, Schema.Struct({ quota: ResourcesSchema })),
    pools: Schema.Record(NameSchema, PoolSchema),
});
