import type { PoolSchema } from "./pool-schema.js";

/** One row of the pools table with its name. */
export type Pool = (typeof PoolSchema)["Type"] & { readonly name: string };
