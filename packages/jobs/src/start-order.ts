import type { OrderCandidate } from "./order-candidate.js";
import type { OrderSituation } from "./order-situation.js";
import type { StartOrderName } from "./start-order-name.js";
import type { StartRule } from "./start-rule.js";
import type { Step } from "./step.js";

/** Decides which open steps start first, and for which of them lasting tasks may be preempted. */
export abstract class StartOrder {
    abstract readonly name: StartOrderName;

    /** Returns the candidates in start order. Queues of higher priority come first in every order. */
    abstract sort<T extends OrderCandidate>(candidates: readonly T[], situation: OrderSituation): T[];

    /**
     * Returns how other candidates compare with this one, by the decisions of the last sort: negative if the other one
     * goes first. Changes nothing.
     */
    abstract comparisonWith(candidate: OrderCandidate, wallMs: number): (other: OrderCandidate) => number;

    /** Whether a lasting task may be preempted for a step of the last sort. */
    abstract mayPreemptFor(step: Step): boolean;

    /** The rule that gave the step its place in the last sort; undefined if it had none or the order keeps no record. */
    abstract ruleFor(step: Step): StartRule | undefined;
}
