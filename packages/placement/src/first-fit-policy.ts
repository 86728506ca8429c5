import { LowestCostPolicy } from "./lowest-cost-policy.js";

/** Baseline policy: chooses the first worker with room. */
export class FirstFitPolicy extends LowestCostPolicy {
    override readonly name = "first-fit";

    static create(): FirstFitPolicy {
        return new FirstFitPolicy();
    }

    protected override cost(): number {
        return 0;
    }
}
