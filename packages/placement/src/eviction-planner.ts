import type { Resources } from "@samphireward/core/resources";
import type { EvictionAction } from "./eviction-action.js";
import type { EvictionCandidate } from "./eviction-candidate.js";
import type { EvictionSettings } from "./eviction-settings.js";
import type { PressureState } from "./pressure-state.js";
import { SlidingWindowLimiter } from "./sliding-window-limiter.js";

const defaults: EvictionSettings = {
    overloadPressure: 1,
    recoveryPressure: 0.8,
    overloadReports: 3,
    recoveryReports: 3,
    throttleFactor: 0.5,
    minProcessorShare: 0.25,
    evictionPressure: 2,
    settlingTimeMs: 20_000,
    maxEvictionsPerWindow: 10,
    windowMs: 60_000,
    urgentReservedEvictions: 5,
    reevictionDelayMs: 5 * 60_000,
};

/** Tasks that cause less than this part of the greatest harm on the worker are left alone. */
const MinRelativePressureShare = 0.25;

const relevantCandidates = (candidates: readonly EvictionCandidate[]): EvictionCandidate[] => {
    const greatest = Math.max(0, ...candidates.map(({ pressureShare: harm }) => harm));
    return candidates.filter(({ pressureShare: harm }) => harm >= MinRelativePressureShare * greatest);
};

const byLostProcessorSeconds = (a: EvictionCandidate, b: EvictionCandidate): number =>
    a.lostProcessorSeconds - b.lostProcessorSeconds || (a.key < b.key ? -1 : 1);

/**
 * Chooses batch tasks to throttle or evict. Pressure is what was measured on a worker relative to its limit.
 * On an overloaded worker the tasks that cause most of it are throttled, as many as are estimated to bring the
 * pressure below the limit. Once the relevant tasks are throttled as far as allowed, the one that loses least
 * work is evicted, within the budget of the window. After each step the planner waits for its effect.
 */
export class EvictionPlanner {
    private readonly states = new Map<string, PressureState>();
    private readonly lastEvictedAtMs = new Map<string, number>();
    private readonly budget: SlidingWindowLimiter;

    private constructor(private readonly settings: EvictionSettings) {
        this.budget = SlidingWindowLimiter.create(settings.maxEvictionsPerWindow, settings.windowMs);
    }

    static create(settings: Partial<EvictionSettings> = {}): EvictionPlanner {
        return new EvictionPlanner({ ...defaults, ...settings });
    }

    isOverloaded(worker: string): boolean {
        return this.states.get(worker)?.isOverloaded ?? false;
    }

    removeWorker(worker: string): void {
        this.states.delete(worker);
    }

    /** Takes one report of a worker's pressure, and returns the actions to carry out. */
    observe(
        worker: string,
        pressure: number,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const state = this.stateOf(worker);
        this.updateState(state, pressure);
        const {
            overloadPressure: enterPressure,
            recoveryPressure: leavePressure,
            settlingTimeMs: settleMs,
        } = this.settings;
        if (nowMs < state.noActionBeforeMs) {
            return [];
        }
        let actions: readonly EvictionAction[] = [];
        if (state.isOverloaded && pressure >= enterPressure) {
            actions = this.throttleOrEvict(pressure, candidates, nowMs);
        } else if (!state.isOverloaded && pressure <= leavePressure) {
            actions = this.unthrottle(candidates);
        }
        if (actions.length > 0) {
            state.noActionBeforeMs = nowMs + settleMs;
        }
        return actions;
    }

    /**
     * Tasks to evict so that `shortage` (what urgent work lacks on the worker, each value at least 0) is freed:
     * least lost work first. Empty when the candidates or the budget do not suffice.
     */
    planPreemption(
        shortage: Resources,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const chosen = this.chooseVictims(shortage, candidates);
        if (chosen === undefined || chosen.length > this.budget.remaining(nowMs)) {
            return [];
        }
        return chosen.map(candidate => this.evict(candidate.key, nowMs));
    }

    private updateState(state: PressureState, pressure: number): void {
        const {
            overloadPressure: enterPressure,
            recoveryPressure: leavePressure,
            overloadReports: enterReports,
            recoveryReports: leaveReports,
        } = this.settings;
        const speaksForChange = state.isOverloaded ? pressure <= leavePressure : pressure >= enterPressure;
        state.consecutiveReports = speaksForChange ? state.consecutiveReports + 1 : 0;
        if (state.consecutiveReports >= (state.isOverloaded ? leaveReports : enterReports)) {
            state.isOverloaded = !state.isOverloaded;
            state.consecutiveReports = 0;
        }
    }

    private throttleOrEvict(
        pressure: number,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const throttles = this.throttle(pressure, candidates);
        if (throttles.length > 0) {
            return throttles;
        }
        const { evictionPressure: evictPressure, urgentReservedEvictions: urgentReserve } = this.settings;
        if (pressure < evictPressure || this.budget.remaining(nowMs) <= urgentReserve) {
            return [];
        }
        const victim = relevantCandidates(candidates)
            .sort(byLostProcessorSeconds)
            .find(({ key }) => this.mayEvictAgain(key, nowMs));
        return victim === undefined ? [] : [this.evict(victim.key, nowMs)];
    }

    /** Throttling loses no work, so the most harmful tasks come first. */
    private throttle(pressure: number, candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const {
            overloadPressure: enterPressure,
            recoveryPressure: leavePressure,
            throttleFactor,
            minProcessorShare: leastShare,
        } = this.settings;
        const target = (enterPressure + leavePressure) / 2;
        let excess = 1 - target / pressure;
        const actions: EvictionAction[] = [];
        for (const { key, pressureShare: harm, processorShare: share } of relevantCandidates(candidates).sort(
            (a, b) => b.pressureShare - a.pressureShare,
        )) {
            const reduced = Math.max(leastShare, share * throttleFactor);
            if (excess > 0 && reduced < share) {
                actions.push({ kind: "throttle", key, processorShare: reduced });
                excess -= harm * (1 - reduced / share);
            }
        }
        return actions;
    }

    /** Gives processors back to one throttled task, the least harmful first. */
    private unthrottle(candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const throttled = candidates.filter(({ processorShare: share }) => share < 1);
        throttled.sort((a, b) => a.pressureShare - b.pressureShare || byLostProcessorSeconds(a, b));
        return throttled.slice(0, 1).map(({ key, processorShare: share }) => ({
            kind: "unthrottle",
            key,
            processorShare: Math.min(1, share / this.settings.throttleFactor),
        }));
    }

    private chooseVictims(
        shortage: Resources,
        candidates: readonly EvictionCandidate[],
    ): readonly EvictionCandidate[] | undefined {
        let chosen: EvictionCandidate[] = [];
        let missing = shortage;
        for (const candidate of [...candidates].sort(byLostProcessorSeconds)) {
            if (isCovered(missing)) {
                break;
            }
            chosen.push(candidate);
            missing = missing.minus(candidate.resources);
        }
        if (!isCovered(missing)) {
            return undefined;
        }
        // A later, larger victim can make an earlier one unnecessary; the greatest loss is spared first.
        for (const candidate of [...chosen].reverse()) {
            const without = missing.plus(candidate.resources);
            if (isCovered(without)) {
                chosen = chosen.filter(other => other !== candidate);
                missing = without;
            }
        }
        return chosen;
    }

    private evict(key: string, nowMs: number): EvictionAction {
        this.budget.record(1, nowMs);
        this.lastEvictedAtMs.delete(key);
        this.lastEvictedAtMs.set(key, nowMs);
        this.removeExpiredEvictions(nowMs);
        return { kind: "evict", key, processorShare: 0 };
    }

    private mayEvictAgain(key: string, nowMs: number): boolean {
        const last = this.lastEvictedAtMs.get(key);
        return last === undefined || nowMs - last >= this.settings.reevictionDelayMs;
    }

    private removeExpiredEvictions(nowMs: number): void {
        for (const [key, time] of this.lastEvictedAtMs) {
            if (nowMs - time < this.settings.reevictionDelayMs) {
                return;
            }
            this.lastEvictedAtMs.delete(key);
        }
    }

    private stateOf(worker: string): PressureState {
        let state = this.states.get(worker);
        if (state === undefined) {
            state = { isOverloaded: false, consecutiveReports: 0, noActionBeforeMs: 0 };
            this.states.set(worker, state);
        }
        return state;
    }
}

const isCovered = (missing: Resources): boolean =>
    missing.processors <= 0 && missing.memoryMb <= 0 && missing.accelerators <= 0;
