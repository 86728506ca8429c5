import type { ConfigDocument } from "@samphireward/core/config-document";
import type { TableProblem } from "@samphireward/core/table-problem";

/** Outcome of writing a change of the tables. */
export type WriteOutcome =
    | {
          readonly kind: "applied";
          readonly revision: number;
          /** Whether the change was found by its id after the response was lost. */
          readonly foundById: boolean;
      }
    | { readonly kind: "conflict"; readonly current: ConfigDocument }
    | { readonly kind: "invalid"; readonly problems: readonly TableProblem[] };
