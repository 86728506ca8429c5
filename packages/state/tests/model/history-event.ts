/** Externally visible event in the run of a schedule. */
export type HistoryEvent =
    | {
          readonly type: "slot-written";
          readonly position: number;
          readonly epoch: number;
          readonly writer: string;
      }
    | { readonly type: "epoch-written"; readonly epoch: number }
    | { readonly type: "opened"; readonly epoch: number; readonly ids: readonly number[] }
    | { readonly type: "open-failed"; readonly epoch: number; readonly code: number }
    | { readonly type: "acknowledged"; readonly id: number }
    | { readonly type: "refused"; readonly id: number; readonly code: number }
    | { readonly type: "granting"; readonly processes: readonly string[] }
    /** State that a last owner replays after all faults have ended; `undefined` when it cannot open the log. */
    | { readonly type: "final"; readonly ids: readonly number[] | undefined };
