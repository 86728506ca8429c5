import type { RouteSchema } from "./route-schema.js";

/** One row of the routes table with its name. Durations are in milliseconds. */
export type Route = (typeof RouteSchema)["Type"] & { readonly name: string };
