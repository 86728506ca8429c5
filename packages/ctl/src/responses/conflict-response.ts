import { ConfigDocument } from "@samphireward/core/config-document";
import * as Schema from "effect/Schema";

/** Response to `PUT /v1/config` with status 409: the configuration that is in force instead of the caller's. */
export const ConflictResponse = Schema.Struct({ current: ConfigDocument });
