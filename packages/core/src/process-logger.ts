import type { Logger } from "tslog";

/** Logger of a process; writes one JSON line per entry. */
export type ProcessLogger = Logger<object>;
