import type { Resources } from "@samphireward/core/resources";

/** What a team's running work reserves. */
export interface QuotaUse {
    readonly urgent: Resources;
    readonly batch: Resources;
}
