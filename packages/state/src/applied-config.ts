import type { ConfigDocument } from "@samphireward/core/config-document";
import type { Tables } from "@samphireward/core/tables";

/** The configuration in force in this process. */
export interface AppliedConfig {
    readonly document: ConfigDocument;
    readonly tables: Tables;
}
