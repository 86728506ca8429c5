import type { ConfigDocument } from "@samphireward/core/config-document";
import type { Tables } from "@samphireward/core/tables";

/** The configuration that this process has applied, with its parsed tables. */
export interface AppliedConfig {
    readonly document: ConfigDocument;
    readonly tables: Tables;
}
