import type { Logger } from "tslog";

/** A process's logger: one JSON line for each change of state. */
export type ProcessLog = Logger<object>;
