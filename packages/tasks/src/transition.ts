import type { TaskSpec } from "@samphireward/core/task-spec";
import type { AttemptRef } from "./attempt-ref.js";
import type { AttemptLoss } from "./attempt-loss.js";
import type { WorkerMode } from "./worker-mode.js";

/** A change of a cell's durable state. The log holds these, and replaying them yields the state. */
export type Transition =
    | { readonly kind: "accepted"; readonly spec: TaskSpec; readonly wallMs: number }
    /** Written before the start command is sent (write-ahead). */
    | ({ readonly kind: "starting"; readonly worker: string } & AttemptRef)
    | ({ readonly kind: "running" } & AttemptRef)
    | ({ readonly kind: "checkpointing" } & AttemptRef)
    /** The worker of the attempt crashed or stopped answering, or more is known about an earlier loss. Ends no attempt. */
    | ({ readonly kind: "attempt-loss" } & AttemptLoss & AttemptRef)
    /** The attempt has definitely ended without an outcome; the task waits again. */
    | ({
          readonly kind: "released";
          readonly checkpoint?: string | undefined;
          readonly wallMs: number;
      } & AttemptRef)
    | ({ readonly kind: "finished"; readonly output: string; readonly wallMs: number } & AttemptRef)
    | ({ readonly kind: "failed"; readonly error: string; readonly wallMs: number } & AttemptRef)
    | { readonly kind: "cancelled"; readonly key: string; readonly wallMs: number }
    /** A waiting task ends as failed, because workers crashed under it. */
    | { readonly kind: "given-up"; readonly key: string; readonly wallMs: number }
    /** Drops the records of tasks that ended long ago. */
    | { readonly kind: "forgotten"; readonly keys: readonly string[] }
    | { readonly kind: "worker-mode"; readonly worker: string; readonly mode: WorkerMode };
