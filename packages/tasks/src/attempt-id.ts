import type { AttemptRef } from "./attempt-ref.js";

/** Text that identifies one attempt of a task. */
export const attemptId = (ref: AttemptRef): string => `${ref.key}#${ref.attempt}`;
