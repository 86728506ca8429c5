import type { Clock } from "@samphireward/core/clock";
import type { RandomSource } from "@samphireward/core/random-source";
import { FairQueue } from "./fair-queue.js";
import { ejectOutlier } from "./eject-outlier.js";
import { RetryBudget } from "./retry-budget.js";
import { ServiceTimeEstimator } from "./service-time-estimator.js";
import type { TargetState } from "./target-state.js";
import type { WaitingRequest } from "./waiting-request.js";

/** Targets of a pool in order of preference: local data centre, rest of the region, other regions. */
type Tiers = readonly (readonly TargetState[])[];

interface DispatcherOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly retryShare: number;
    /** Returns the current targets of the pool by preference. Called when they may have changed. */
    readonly findTiers: () => Tiers;
    /** Whether the link to the target's region has capacity left; `true` within the local region. */
    readonly hasLinkCapacity: (target: TargetState) => boolean;
}

/** Assigns the waiting requests of one pool to free slots, fairly among routes and customers. */
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

    /** Reloads the targets after a change of the shares or the tables. */
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

    /**
     * Dispatches the request immediately if its queue is empty and a slot is free; otherwise queues or rejects it.
     */
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

    /** Takes a slot of the best target that has one free. Targets with a recent connect failure are tried last. */
    tryTakeSlot(): TargetState | undefined {
        const nowMs = this.options.clock.nowMs();
        const isSuspect = (target: TargetState): boolean => target.isSuspect(nowMs);
        if (this.tiers.some(tier => tier.some(isSuspect))) {
            const others = this.tiers.map(tier => tier.filter(target => !isSuspect(target)));
            return this.tryTakeSlotFrom(others, nowMs) ?? this.tryTakeSlotFrom(this.tiers, nowMs);
        }
        return this.tryTakeSlotFrom(this.tiers, nowMs);
    }

    private tryTakeSlotFrom(
        tiers: readonly (readonly TargetState[])[],
        nowMs: number,
    ): TargetState | undefined {
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

    /** Counts a failure of a target and ejects the target if it is an outlier or unreachable. */
    countFailure(target: TargetState, isUnreachable: boolean): void {
        if (isUnreachable) {
            target.countConnectFailure();
        } else {
            target.countFailure();
        }
        ejectOutlier(target, this.tiers.flat(), this.options.clock.nowMs());
    }

    /**
     * Assigns free slots to waiting requests. Called periodically too, for slots that become usable when an
     * ejection ends or a link has capacity again.
     */
    dispatchQueued(): void {
        if (this.isDispatching) {
            return;
        }
        this.isDispatching = true;
        try {
            while (this.dispatchNext()) {
                // Each iteration serves the next route in round-robin order.
            }
        } finally {
            this.isDispatching = false;
        }
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
        // Re-inserting the key moves the route to the end of the round-robin order.
        this.queues.delete(name);
        this.queues.set(name, queue);
        if (request === undefined) {
            target.share.releaseSlot();
        } else {
            request.dispatch(target);
        }
        return true;
    }

    /** The next route in round-robin order that has waiting requests. */
    private nextRoute(): string | undefined {
        for (const [name, queue] of this.queues) {
            if (queue.size > 0) {
                return name;
            }
        }
        return undefined;
    }

    /** Removes and returns the next request that can still be answered before its deadline; expires the others. */
    private shiftAnswerable(queue: FairQueue<WaitingRequest>): WaitingRequest | undefined {
        const nowMs = this.options.clock.nowMs();
        for (let request = queue.shift(); request !== undefined; request = queue.shift()) {
            const timeoutMs = request.deadlineAtMs - request.receivedAtMs;
            const neededMs = Math.min(this.serviceTimes.expectedMs(request.routeName), timeoutMs / 2);
            if (request.deadlineAtMs - nowMs > neededMs) {
                return request;
            }
            request.expire();
        }
        return undefined;
    }

    /** The less loaded of two random targets, or the least loaded target if that one has no free slot. */
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

    /** Whether usable targets exist, all of them behind links without capacity. */
    private isLinkLimited(): boolean {
        const nowMs = this.options.clock.nowMs();
        let isLimited = false;
        // Called for each request that has to wait, so it returns at the first target that can be reached.
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
