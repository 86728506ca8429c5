import type { OrderCandidate } from "./order-candidate.js";
import type { OrderSituation } from "./order-situation.js";
import { StartOrder } from "./start-order.js";
import { StartOrderName } from "./start-order-name.js";
import { StepRank } from "./step-rank.js";

/** Orders steps by queue priority and by the latest start for a result in time, see `StepRank`. */
export class DeadlineOrder extends StartOrder {
    override readonly name = StartOrderName.Deadline;

    static create(): DeadlineOrder {
        return new DeadlineOrder();
    }

    override sort<T extends OrderCandidate>(candidates: readonly T[], { wallMs }: OrderSituation): T[] {
        return candidates
            .map(candidate => {
                const { step, rule, overdueMs } = candidate;
                return { candidate, rank: StepRank.create(step, rule, wallMs, overdueMs) };
            })
            .sort((a, b) => a.rank.compare(b.rank))
            .map(({ candidate }) => candidate);
    }

    override comparisonWith(
        { step, rule, overdueMs }: OrderCandidate,
        wallMs: number,
    ): (other: OrderCandidate) => number {
        const rank = StepRank.create(step, rule, wallMs, overdueMs);
        return other => StepRank.create(other.step, other.rule, wallMs, other.overdueMs).compare(rank);
    }

    override mayPreemptFor(): boolean {
        return true;
    }

    override ruleFor(): undefined {
        return undefined;
    }
}
