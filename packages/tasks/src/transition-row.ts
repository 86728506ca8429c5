/** A transition as the log keeps it: a tag and the fields in a fixed order. JSON values only. */
export type TransitionRow = readonly unknown[];
