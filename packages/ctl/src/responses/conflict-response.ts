import { ConfigDocument } from "@samphireward/core/config-document";
import * as Schema from "effect/Schema";

/** `PUT /v1/config` with status 409: the tables that are in force in place of the caller's. */
export const ConflictResponse = Schema.Struct({ current: ConfigDocument });
