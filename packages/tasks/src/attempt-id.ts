import type { AttemptRef } from "./attempt-ref.js";

/** Returns the unique id of one attempt of a task. */
export const attemptId = (ref: AttemptRef): string => `${ref.key}#${ref.attempt}`;
