import type { Resources } from "@samphireward/core/resources";
import type { WorkClass } from "@samphireward/core/work-class";

/** A running task that counts against its team's quota. */
export interface QuotaReservation {
    readonly key: string;
    readonly team: string;
    readonly resources: Resources;
    readonly workClass: WorkClass;
}
