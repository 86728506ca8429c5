import { DurationEstimates } from "./duration-estimates.js";
import type { JobDemand } from "./job-demand.js";
import type { Occurrence } from "./occurrence.js";
import type { OrderCandidate } from "./order-candidate.js";
import type { OrderSituation } from "./order-situation.js";
import { QueueWork } from "./queue-work.js";
import { remainingWorkMs } from "./remaining-work-ms.js";
import { selectInTime } from "./select-in-time.js";
import { serviceCapacities } from "./service-capacities.js";
import { StartOrder } from "./start-order.js";
import { StartOrderName } from "./start-order-name.js";
import { StartRule } from "./start-rule.js";
import type { StepEstimates } from "./step-estimates.js";
import { StepRank } from "./step-rank.js";
import type { Step } from "./step.js";
import { targetTimeMs } from "./target-time-ms.js";

/** A job that has waited for this many target times goes first, one job of a priority at a time, so that none starves. */
const AgedTargets = 10;

/** Share of its worth that a late result has. */
const LateShare = 0.15;

/** Time between two selections, which cost more than a sort; a job that has arrived since counts as in time. */
const SelectionMs = 100;

const Places: Readonly<Record<StartRule, number>> = {
    [StartRule.Aged]: 0,
    [StartRule.InTime]: 1,
    [StartRule.ByWorth]: 2,
    [StartRule.Hopeless]: 3,
};

/** The place of a step: by rule, then by `key`, lower first. */
interface Place {
    readonly rule: StartRule;
    readonly key: number;
}

const compare = (a: Place, b: Place): number => Places[a.rule] - Places[b.rule] || a.key - b.key;

/** Target time of an occurrence, from when it is due. */
const targetMsOf = ({ occurrence }: Step, rule: OrderCandidate["rule"]): number =>
    targetTimeMs(rule, Math.max(0, ...occurrence.steps.map(step => step.criticalPathMs)));

/**
 * Orders steps by queue priority, and within it by what callers lose: jobs that can all end in time come first, by latest
 * start, then those that are worth most for the work they still need.
 */
export class WorthOrder extends StartOrder {
    override readonly name = StartOrderName.Worth;
    private readonly work = QueueWork.create();
    private places = new Map<Step, Place>();
    /** Worth for the remaining work of the jobs that were not selected to end in time. */
    private readonly leftOut = new Map<Occurrence, number>();
    private aged: ReadonlySet<Occurrence> = new Set();
    private selectedAtMs = -Infinity;

    private constructor(private readonly estimates: StepEstimates) {
        super();
    }

    static create(estimates: StepEstimates = DurationEstimates.create()): WorthOrder {
        return new WorthOrder(estimates);
    }

    override sort<T extends OrderCandidate>(candidates: readonly T[], situation: OrderSituation): T[] {
        const { nowMs, wallMs } = situation;
        if (nowMs - this.selectedAtMs >= SelectionMs) {
            this.selectedAtMs = nowMs;
            this.select(candidates, situation);
        }
        const places = candidates.map(candidate => ({ candidate, place: this.placeOf(candidate, wallMs) }));
        this.places = new Map(places.map(({ candidate, place }) => [candidate.step, place]));
        return places
            .sort(
                (a, b) => a.candidate.rule.priority - b.candidate.rule.priority || compare(a.place, b.place),
            )
            .map(({ candidate }) => candidate);
    }

    /** A job that has arrived since the last selection counts as in time, as in the next sort without a selection. */
    override comparisonWith(candidate: OrderCandidate, wallMs: number): (other: OrderCandidate) => number {
        const place = this.placeOf(candidate, wallMs);
        return other =>
            other.rule.priority - candidate.rule.priority || compare(this.placeOf(other, wallMs), place);
    }

    /** What is left of a hopeless job is worth less than the work that a lasting task would lose. */
    override mayPreemptFor(step: Step): boolean {
        return this.places.get(step)?.rule !== StartRule.Hopeless;
    }

    override ruleFor(step: Step): StartRule | undefined {
        return this.places.get(step)?.rule;
    }

    /** Selects anew which jobs can end in time, and which have aged. */
    private select(candidates: readonly OrderCandidate[], situation: OrderSituation): void {
        const { fleet, nowMs, wallMs } = situation;
        candidates.forEach(({ step }) => this.estimates.learn(step));
        const demands = this.demandsOf(candidates);
        this.leftOut.clear();
        for (const [service, capacity] of serviceCapacities(fleet, nowMs)) {
            const ofService = demands.filter(demand => demand.service === service);
            const inTime = selectInTime(ofService, capacity, wallMs);
            for (const demand of ofService.filter(({ occurrence }) => !inTime.has(occurrence))) {
                const share = wallMs + demand.pathMs > demand.targetAtMs ? LateShare : 1;
                this.leftOut.set(demand.occurrence, (share * demand.worth) / Math.max(demand.workMs, 1));
            }
        }
        this.aged = this.oldestAged(candidates, wallMs);
    }

    private demandsOf(candidates: readonly OrderCandidate[]): readonly JobDemand[] {
        const demands = new Map<Occurrence, JobDemand>();
        for (const { step, rule } of candidates) {
            const { occurrence } = step;
            if (step.spec.lasting || step.spec.filler || demands.has(occurrence)) {
                continue;
            }
            const targetMs = targetMsOf(step, rule);
            const unsure = 1 + this.estimates.unsureShareOf(step);
            demands.set(occurrence, {
                occurrence,
                priority: rule.priority,
                service: rule.service,
                workMs: remainingWorkMs(occurrence, other => this.estimates.factorOf(other)),
                pathMs: step.criticalPathMs * this.estimates.factorOf(step) * unsure,
                targetMs,
                targetAtMs: occurrence.dueAtMs + targetMs,
                worth: this.work.worthOf(occurrence.job),
            });
        }
        return [...demands.values()];
    }

    /** For each priority the job that is due since longest, if it has aged. */
    private oldestAged(candidates: readonly OrderCandidate[], wallMs: number): Set<Occurrence> {
        const oldest = new Map<number, Occurrence>();
        for (const { step, rule } of candidates) {
            const { occurrence } = step;
            const isAged = wallMs > occurrence.dueAtMs + AgedTargets * targetMsOf(step, rule);
            const known = oldest.get(rule.priority);
            if (isAged && !step.spec.lasting && occurrence.dueAtMs < (known?.dueAtMs ?? Infinity)) {
                oldest.set(rule.priority, occurrence);
            }
        }
        return new Set(oldest.values());
    }

    private placeOf({ step, rule, overdueMs }: OrderCandidate, wallMs: number): Place {
        const { startByMs, isTooLate } = StepRank.create(step, rule, wallMs, overdueMs);
        if (this.aged.has(step.occurrence)) {
            return { rule: StartRule.Aged, key: startByMs };
        }
        if (isTooLate) {
            return { rule: StartRule.Hopeless, key: startByMs };
        }
        const density = step.spec.lasting || step.spec.filler ? undefined : this.leftOut.get(step.occurrence);
        return density === undefined
            ? { rule: StartRule.InTime, key: startByMs }
            : { rule: StartRule.ByWorth, key: -density };
    }
}
