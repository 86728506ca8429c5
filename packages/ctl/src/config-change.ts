import type { TableTexts } from "./table-texts.js";

/** Body of `PUT /v1/config`. */
export interface ConfigChange extends TableTexts {
    /** Revision that the change replaces; 0 when there are no tables yet. */
    readonly expectedRevision: number;
    /** Unique for each change; tells after a lost answer whether the change took effect. */
    readonly changeId: string;
    readonly author: string;
}
