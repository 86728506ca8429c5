import { orderLoads } from "./order-loads.js";
import { OrderStudy } from "./order-study.js";
import { orderVariants } from "./order-variants.js";

const Seeds = 20;
/** The first seed; the constants of `WorthOrder` were chosen on seeds 1 to 20. */
const FirstSeed = Number(process.argv[2] ?? "1");

/** Prints what callers lose under each order, in percent of the worth of all results, for each load. */
const names = Object.keys(orderVariants);
process.stdout.write(`| load | ${names.join(" | ")} |\n|---|${names.map(() => "---|").join("")}\n`);
for (const load of orderLoads.names) {
    const cells = names.map(name => {
        let lost = 0;
        let open = 0;
        for (let seed = FirstSeed; seed < FirstSeed + Seeds; seed++) {
            const made = orderLoads.create(load, seed);
            const create = orderVariants[name];
            const result = create && OrderStudy.run(made, create(made));
            lost += (result?.lost ?? 0) / Seeds;
            open += result?.open ?? 0;
        }
        return `${(lost * 100).toFixed(2)}${open > 0 ? ` (${open} open)` : ""}`;
    });
    process.stdout.write(`| ${load} | ${cells.join(" | ")} |\n`);
}
