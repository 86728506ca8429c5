import type { TableTexts } from "./table-texts.js";

/** Body of `PUT /v1/config`. */
export interface ConfigChange extends TableTexts {
    /** Revision that the change replaces; 0 if no tables have been applied yet. */
    readonly expectedRevision: number;
    /** Unique id of the change; shows after a lost response whether the change took effect. */
    readonly changeId: string;
    readonly author: string;
}
