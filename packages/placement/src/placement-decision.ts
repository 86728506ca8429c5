import type { Result } from "ts-results-es";

/** Name of the chosen worker, or the reason why the task waits, which is shown to operators. */
export type PlacementDecision = Result<string, string>;
