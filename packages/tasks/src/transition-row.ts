/** A transition as stored in the log: a tag and the fields in a fixed order. JSON values only. */
export type TransitionRow = readonly unknown[];
