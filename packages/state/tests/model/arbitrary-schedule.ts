import * as fc from "fast-check";
import { StoreFault } from "../../src/testing/store-fault.js";
import type { Operation } from "./operation.js";

/** Generates an operation on one of `processes` processes. `run` is frequent, so that most schedules make progress. */
const arbitraryOperation = (processes: number): fc.Arbitrary<Operation> => {
    const process = fc.nat(processes - 1);
    const fault = fc.constantFrom(...Object.values(StoreFault));
    const weighted: readonly (readonly [weight: number, arbitrary: fc.Arbitrary<Operation>])[] = [
        [
            12,
            fc.record({
                op: fc.constant("run"),
                process,
                turns: fc.integer({ min: 1, max: 6 }),
                appends: fc.nat(2),
            }),
        ],
        [5, fc.record({ op: fc.constant("advance"), ms: fc.constantFrom(100, 1000, 2000, 5000) })],
        [3, fc.record({ op: fc.constant("pause"), process, afterHoldPoints: fc.nat(16) })],
        [4, fc.record({ op: fc.constant("resume"), process })],
        [3, fc.record({ op: fc.constant("fault"), process, fault, after: fc.nat(4) })],
        [1, fc.record({ op: fc.constantFrom("cut", "heal", "heal", "kill"), process })],
        [1, fc.constant({ op: "deliver-late" })],
    ];
    return fc.oneof(...weighted.map(([weight, arbitrary]) => ({ weight, arbitrary })));
};

/** Generates a schedule that is long enough for the ring to wrap several times. */
export const arbitrarySchedule = (processes: number): fc.Arbitrary<Operation[]> =>
    fc.array(arbitraryOperation(processes), { minLength: 30, maxLength: 120, size: "max" });
