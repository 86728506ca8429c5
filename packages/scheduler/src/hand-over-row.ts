import type { HandOverGrant } from "@samphireward/routing/hand-over-grant";
import type { LogRow } from "./log-row.js";

/** Tag of the log row with slot shares; the tags of transitions are numbers. */
const Tag = "grants";

/**
 * Log rows with which an owner hands its slot shares to the next one (`of`) and the next one takes them
 * (`taken`).
 */
export const HandOverRow = {
    tag: Tag,
    of: (grants: readonly HandOverGrant[]): LogRow => [Tag, grants],
    /** Appended by the next owner before it grants anything, so that no later owner relies on the shares. */
    taken: [Tag] as LogRow,
} as const;
