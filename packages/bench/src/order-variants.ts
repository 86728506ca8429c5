import { DeadlineOrder } from "@samphireward/jobs/deadline-order";
import { DurationEstimates } from "@samphireward/jobs/duration-estimates";
import { jobWorkMs } from "@samphireward/jobs/job-work-ms";
import type { OrderCandidate } from "@samphireward/jobs/order-candidate";
import { remainingWorkMs } from "@samphireward/jobs/remaining-work-ms";
import { StartOrder } from "@samphireward/jobs/start-order";
import { StartOrderName } from "@samphireward/jobs/start-order-name";
import { StepEstimates } from "@samphireward/jobs/step-estimates";
import type { Step } from "@samphireward/jobs/step";
import { WorthOrder } from "@samphireward/jobs/worth-order";
import type { OrderLoad } from "./order-load.js";

/** Multiplies the submitters' estimates by a factor of the job, and learns nothing. */
class FixedEstimates extends StepEstimates {
    private constructor(private readonly factorOfJob: (id: string) => number) {
        super();
    }

    static create(factorOfJob: (id: string) => number): FixedEstimates {
        return new FixedEstimates(factorOfJob);
    }

    override learn(): void {
        // Nothing is learned.
    }

    override factorOf(step: Step): number {
        return this.factorOfJob(step.occurrence.job.spec.id);
    }

    override unsureShareOf(): number {
        return 0;
    }
}

/** Starts the least remaining work first, whatever the deadlines. */
class LeastWorkOrder extends StartOrder {
    override readonly name = StartOrderName.Worth;

    static create(): LeastWorkOrder {
        return new LeastWorkOrder();
    }

    override sort<T extends OrderCandidate>(candidates: readonly T[]): T[] {
        const left = new Map(candidates.map(({ step }) => [step, remainingWorkMs(step.occurrence, () => 1)]));
        const leftOf = ({ step }: T): number => left.get(step) ?? jobWorkMs(step.occurrence.job.spec);
        return [...candidates].sort((a, b) => a.rule.priority - b.rule.priority || leftOf(a) - leftOf(b));
    }

    override comparisonWith({ step, rule }: OrderCandidate): (other: OrderCandidate) => number {
        const leftMs = remainingWorkMs(step.occurrence, () => 1);
        return other =>
            other.rule.priority - rule.priority || remainingWorkMs(other.step.occurrence, () => 1) - leftMs;
    }

    override mayPreemptFor(): boolean {
        return true;
    }

    override ruleFor(): undefined {
        return undefined;
    }
}

/** Returns the real durations of a load's jobs, relative to their estimates. */
const trueFactors = ({ jobs }: OrderLoad): ((id: string) => number) => {
    const factors = new Map(jobs.map(({ spec, trueFactor }) => [spec.id, trueFactor]));
    return id => factors.get(id) ?? 1;
};

/** The start orders of the study, by name; each play needs a new one. */
export const orderVariants: Readonly<Record<string, (load: OrderLoad) => StartOrder>> = {
    deadline: () => DeadlineOrder.create(),
    "least work": () => LeastWorkOrder.create(),
    worth: () => WorthOrder.create(DurationEstimates.create()),
    "worth, plain estimates": () => WorthOrder.create(FixedEstimates.create(() => 1)),
    "worth, clairvoyant": load => WorthOrder.create(FixedEstimates.create(trueFactors(load))),
};
