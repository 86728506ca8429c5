/** An item of a cell's snapshot: a tag and the columns of a task or of a worker's mode. JSON values only. */
export type StateRow = readonly unknown[];
