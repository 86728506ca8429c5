import type { SlotShare } from "@samphireward/core/slot-share";

/** A slot share with the worker's service address, as sent between the cell owner and an entry process. */
export interface GrantedShare extends SlotShare {
    /** `ip:port` */
    readonly serviceAddress: string;
}
