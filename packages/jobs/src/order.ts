import type { OrderKind } from "./order-kind.js";
import type { Run } from "./run.js";
import type { StopReason } from "./stop-reason.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** An order to a worker. A stop may name a run that belongs to no known task. */
export type Order =
    | { readonly kind: typeof OrderKind.Start; readonly worker: WorkerIncarnation; readonly run: Run }
    | {
          readonly kind: typeof OrderKind.Stop;
          readonly worker: WorkerIncarnation;
          readonly task: string;
          readonly number: number;
          readonly reason: StopReason;
      }
    | {
          readonly kind: typeof OrderKind.Pace;
          readonly worker: WorkerIncarnation;
          readonly run: Run;
          readonly percent: number;
      };
