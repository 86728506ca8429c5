import type { Result } from "ts-results-es";

/** The chosen worker's name, or the reason why the task waits (shown to operators). */
export type PlacementDecision = Result<string, string>;
