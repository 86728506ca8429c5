import type { Clock } from "@samphireward/core/clock";
import type { RandomSource } from "@samphireward/core/random-source";
import { FairQueue } from "./fair-queue.js";
import { ejectOutlier } from "./eject-outlier.js";
import { RetryBudget } from "./retry-budget.js";
import { ServiceTimeEstimator } from "./service-time-estimator.js";
import type { TargetState } from "./target-state.js";
import type { WaitingRequest } from "./waiting-request.js";

/** Targets of a pool by preference: the caller's data centre, its region, another region. */
type Tiers = readonly (readonly TargetState[])[];

interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly retryShare: number;
    /** The pool's targets now, by preference. Called when they may have changed. */
    readonly findTiers: () => Tiers;
    /** Whether the link to this target's region has room; `true` in the own region. */
    readonly hasLinkCapacity: (target: TargetState) => boolean;
}

/** Gives the waiting requests of one pool to free slots, fairly over routes and customers. */
export class PoolDispatcher {
    private tiers: Tiers = [];
    private readonly queues = new Map<string, FairQueue<WaitingRequest>>();
    readonly retryBudget: RetryBudget;
    readonly serviceTimes = ServiceTimeEstimator.create();
    private isDispatching = false;

    private constructor(private readonly options: DispatcherOptions) {
        this.retryBudget = RetryBudget.create(options.retryShare);
        this.refresh();
    }

    static create(options: DispatcherOptions): PoolDispatcher {
        return new PoolDispatcher(options);
    }

    /** The shares or the tables have changed. */
    refresh(): void {
        this.tiers = this.options.findTiers();
        this.dispatchQueued();
    }

    get queuedCount(): number {
        return [...this.queues.values()].reduce((sum, queue) => sum + queue.size, 0);
    }

    get slotsInUse(): number {
        return this.tiers.flat().reduce((sum, target) => sum + target.share.slotsInUse, 0);
    }

    /** Whether any target exists that is not leaving and whose share has not expired. */
    get hasTargets(): boolean {
        const nowMs = this.options.clock.nowMs();
        return this.tiers.some(tier => tier.some(target => target.share.isUsable(nowMs)));
    }

    /** Dispatches the request at once when nothing waits and a slot is free; queues it otherwise. */
    enqueue(request: WaitingRequest, maxQueue: number): void {
        const queue = this.queueFor(request.routeName);
        queue.maxItems = maxQueue;
        const target = queue.size === 0 ? this.tryTakeSlot() : undefined;
        if (target !== undefined) {
            request.dispatch(target);
            return;
        }
        if (this.isLinkLimited()) {
            request.rejectLinkLimited();
            return;
        }
        queue.push(request.customer, request)?.rejectQueueFull();
    }

    remove(request: WaitingRequest): void {
        this.queues.get(request.routeName)?.remove(request.customer, request);
    }

    /** Takes a slot of the best target that has one; a target whose last connection failed comes last. */
    tryTakeSlot(): TargetState | undefined {
        const nowMs = this.options.clock.nowMs();
        const isSuspect = (target: TargetState): boolean => target.isSuspect(nowMs);
        if (this.tiers.some(tier => tier.some(isSuspect))) {
            const others = this.tiers.map(tier => tier.filter(target => !isSuspect(target)));
            return this.takeSlotFrom(others, nowMs) ?? this.takeSlotFrom(this.tiers, nowMs);
        }
        return this.takeSlotFrom(this.tiers, nowMs);
    }

    private takeSlotFrom(tiers: readonly (readonly TargetState[])[], nowMs: number): TargetState | undefined {
        for (const tier of tiers) {
            const target = this.pickLeastLoaded(tier, nowMs);
            if (target?.tryTakeSlot(nowMs) === true) {
                return target;
            }
        }
        return undefined;
    }

    releaseSlot(target: TargetState): void {
        target.share.releaseSlot();
        this.dispatchQueued();
    }

    /** Counts a failure of a target and ejects it when it is an outlier. */
    countFailure(target: TargetState, isUnreachable: boolean): void {
        if (isUnreachable) {
            target.countConnectFailure();
        } else {
            target.countFailure();
        }
        ejectOutlier(target, this.tiers.flat(), this.options.clock.nowMs());
    }

    /** Gives free slots to waiting requests. Also called after an ejection or a link's debt has ended. */
    dispatchQueued(): void {
        if (this.isDispatching) {
            return;
        }
        this.isDispatching = true;
        while (this.dispatchNext()) {
            // Each turn serves another route.
        }
        this.isDispatching = false;
    }

    private dispatchNext(): boolean {
        const name = this.nextRoute();
        const queue = name === undefined ? undefined : this.queues.get(name);
        if (name === undefined || queue === undefined) {
            return false;
        }
        const target = this.tryTakeSlot();
        if (target === undefined) {
            return false;
        }
        const request = this.shiftAnswerable(queue);
        // The route goes to the end of the order.
        this.queues.delete(name);
        this.queues.set(name, queue);
        if (request === undefined) {
            target.share.releaseSlot();
        } else {
            request.dispatch(target);
        }
        return true;
    }

    /** The first route in turn that has waiting requests. */
    private nextRoute(): string | undefined {
        for (const [name, queue] of this.queues) {
            if (queue.size > 0) {
                return name;
            }
        }
        return undefined;
    }

    /** The next request that can still be answered in time; drops those that cannot. */
    private shiftAnswerable(queue: FairQueue<WaitingRequest>): WaitingRequest | undefined {
        const nowMs = this.options.clock.nowMs();
        for (let request = queue.shift(); request !== undefined; request = queue.shift()) {
            const allowedMs = request.deadlineAtMs - request.receivedAtMs;
            const neededMs = Math.min(this.serviceTimes.expectedMs(request.routeName), allowedMs / 2);
            if (request.deadlineAtMs - nowMs > neededMs) {
                return request;
            }
            request.expire();
        }
        return undefined;
    }

    /** The less loaded of two random targets with a free slot, or the least loaded when both are full. */
    private pickLeastLoaded(tier: readonly TargetState[], nowMs: number): TargetState | undefined {
        if (tier.length > 2) {
            const first = this.pickRandom(tier);
            const second = this.pickRandom(tier);
            const better = first.load <= second.load ? first : second;
            if (better.hasFreeSlot(nowMs) && this.options.hasLinkCapacity(better)) {
                return better;
            }
        }
        let best: TargetState | undefined;
        for (const target of tier) {
            const isBetter = best === undefined || target.load < best.load;
            if (isBetter && target.hasFreeSlot(nowMs) && this.options.hasLinkCapacity(target)) {
                best = target;
            }
        }
        return best;
    }

    private pickRandom(tier: readonly TargetState[]): TargetState {
        return tier[this.options.random.below(tier.length)] as TargetState;
    }

    /** Whether slots are free only beyond a link without room, and no target is on this side. */
    private isLinkLimited(): boolean {
        const nowMs = this.options.clock.nowMs();
        let isLimited = false;
        // Called for each request that has to wait, so it ends at the first target on this side.
        for (const tier of this.tiers) {
            for (const target of tier) {
                if (target.share.isUsable(nowMs)) {
                    if (this.options.hasLinkCapacity(target)) {
                        return false;
                    }
                    isLimited = true;
                }
            }
        }
        return isLimited;
    }

    private queueFor(route: string): FairQueue<WaitingRequest> {
        const queue = this.queues.get(route) ?? FairQueue.create<WaitingRequest>(0);
        this.queues.set(route, queue);
        return queue;
    }
}
