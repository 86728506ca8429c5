import type { Resources } from "@samphireward/core/resources";

/** Resources that a team's running tasks reserve. */
export interface QuotaUsage {
    readonly urgent: Resources;
    readonly batch: Resources;
}
