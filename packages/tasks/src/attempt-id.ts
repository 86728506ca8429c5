import type { TaskRef } from "./task-ref.js";

/** Text that identifies one attempt of a task. */
export const attemptId = (ref: TaskRef): string => `${ref.key}#${ref.attempt}`;
