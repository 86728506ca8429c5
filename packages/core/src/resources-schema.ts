import * as Schema from "effect/Schema";

const nonNegativeNumber = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

/** Schema of resources in a table: `processors` in cores, `memoryMb` in MiB, `accelerators` in devices. */
export const ResourcesSchema = Schema.Struct({
    processors: nonNegativeNumber,
    memoryMb: nonNegativeNumber,
    accelerators: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
});
