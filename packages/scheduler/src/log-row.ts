/** A transition, or a part of a snapshot, as the log stores it: an array without field names. */
export type LogRow = readonly unknown[];
