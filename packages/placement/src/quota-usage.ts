import type { Resources } from "@samphireward/core/resources";

/** What a team's running work reserves. */
export interface QuotaUsage {
    readonly urgent: Resources;
    readonly batch: Resources;
}
