import type { StoreFault } from "../../src/testing/store-fault.js";

/** One operation of a schedule. `process` is an index. */
export type Operation =
    /** Runs turns of a process, each after `appends` appends. */
    | { readonly op: "run"; readonly process: number; readonly turns: number; readonly appends: number }
    | { readonly op: "advance"; readonly ms: number }
    | { readonly op: "pause"; readonly process: number; readonly afterHoldPoints: number }
    | { readonly op: "fault"; readonly process: number; readonly fault: StoreFault; readonly after: number }
    | { readonly op: "resume" | "cut" | "heal" | "kill"; readonly process: number }
    | { readonly op: "deliver-late" };
