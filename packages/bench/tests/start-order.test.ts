import t from "tap";
import { orderLoads } from "../src/order-loads.js";
import { OrderStudy } from "../src/order-study.js";
import { orderVariants } from "../src/order-variants.js";

const Seeds = 20;

/** Mean share of the worth of all results that callers lose. */
const lossOf = (load: string, variant: string): number => {
    let sum = 0;
    for (let seed = 1; seed <= Seeds; seed++) {
        const made = orderLoads.create(load, seed);
        const order = orderVariants[variant]?.(made);
        if (order !== undefined) {
            sum += OrderStudy.run(made, order).lost;
        }
    }
    return sum / Seeds;
};

// Guards against a worth order that costs callers more than the present order on one kind of load.
for (const load of orderLoads.names) {
    t.test(`callers lose not more by worth than by deadline: ${load}`, t => {
        const deadline = lossOf(load, "deadline");
        const worth = lossOf(load, "worth");
        t.ok(worth <= deadline, `${worth} against ${deadline}, seeds 1 to ${Seeds}`);
        t.end();
    });
}
