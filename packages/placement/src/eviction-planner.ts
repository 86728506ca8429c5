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

/** Tasks with less than this part of the greatest pressure share on the worker are not acted on. */
const MinRelativePressureShare = 0.25;

const relevantCandidates = (candidates: readonly EvictionCandidate[]): EvictionCandidate[] => {
    const greatestShare = Math.max(0, ...candidates.map(({ pressureShare }) => pressureShare));
    return candidates.filter(
        ({ pressureShare }) => pressureShare >= MinRelativePressureShare * greatestShare,
    );
};

const byLostProcessorSeconds = (a: EvictionCandidate, b: EvictionCandidate): number =>
    a.lostProcessorSeconds - b.lostProcessorSeconds || (a.key < b.key ? -1 : 1);

/**
 * Chooses batch tasks to throttle or evict. Pressure is a measured value of a worker relative to its limit. On an
 * overloaded worker, the tasks with the greatest pressure shares are throttled, as many as are estimated to bring
 * the pressure below the limit. Once these are throttled as far as allowed, the one that loses least work is
 * evicted, if the limit on evictions in a window allows it. After each step the planner waits for its effect to
 * show in the reports.
 */
export class EvictionPlanner {
    private readonly states = new Map<string, PressureState>();
    private readonly lastEvictedAtMs = new Map<string, number>();
    private readonly evictionLimiter: SlidingWindowLimiter;

    private constructor(private readonly settings: EvictionSettings) {
        this.evictionLimiter = SlidingWindowLimiter.create(settings.maxEvictionsPerWindow, settings.windowMs);
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

    /** Processes a report of a worker's pressure, and returns the actions to carry out. */
    observe(
        worker: string,
        pressure: number,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const state = this.stateOf(worker);
        this.updateState(state, pressure);
        const { overloadPressure, recoveryPressure, settlingTimeMs } = this.settings;
        if (nowMs < state.noActionBeforeMs) {
            return [];
        }
        let actions: readonly EvictionAction[] = [];
        if (state.isOverloaded && pressure >= overloadPressure) {
            actions = this.throttleOrEvict(pressure, candidates, nowMs);
        } else if (!state.isOverloaded && pressure <= recoveryPressure) {
            actions = this.unthrottle(candidates);
        }
        if (actions.length > 0) {
            state.noActionBeforeMs = nowMs + settlingTimeMs;
        }
        return actions;
    }

    /**
     * Evictions that free at least `shortage`, the resources that an urgent task lacks on the worker (each at
     * least 0), with the least lost work first. Empty if the candidates do not suffice, or if the evictions would
     * exceed the limit for the window.
     */
    planPreemption(
        shortage: Resources,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const chosen = this.chooseVictims(shortage, candidates);
        if (chosen === undefined || chosen.length > this.evictionLimiter.remaining(nowMs)) {
            return [];
        }
        return chosen.map(candidate => this.evict(candidate.key, nowMs));
    }

    private updateState(state: PressureState, pressure: number): void {
        const { overloadPressure, recoveryPressure, overloadReports, recoveryReports } = this.settings;
        const favorsOtherState = state.isOverloaded
            ? pressure <= recoveryPressure
            : pressure >= overloadPressure;
        state.consecutiveReports = favorsOtherState ? state.consecutiveReports + 1 : 0;
        if (state.consecutiveReports >= (state.isOverloaded ? recoveryReports : overloadReports)) {
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
        const { evictionPressure, urgentReservedEvictions } = this.settings;
        if (pressure < evictionPressure || this.evictionLimiter.remaining(nowMs) <= urgentReservedEvictions) {
            return [];
        }
        const victim = relevantCandidates(candidates)
            .sort(byLostProcessorSeconds)
            .find(({ key }) => this.mayEvictAgain(key, nowMs));
        return victim === undefined ? [] : [this.evict(victim.key, nowMs)];
    }

    /** Throttling loses no work, so the tasks with the greatest pressure shares come first. */
    private throttle(pressure: number, candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const { overloadPressure, recoveryPressure, throttleFactor, minProcessorShare } = this.settings;
        const targetPressure = (overloadPressure + recoveryPressure) / 2;
        let excessShare = 1 - targetPressure / pressure;
        const actions: EvictionAction[] = [];
        for (const { key, pressureShare, processorShare } of relevantCandidates(candidates).sort(
            (a, b) => b.pressureShare - a.pressureShare,
        )) {
            const reduced = Math.max(minProcessorShare, processorShare * throttleFactor);
            if (excessShare > 0 && reduced < processorShare) {
                actions.push({ kind: "throttle", key, processorShare: reduced });
                excessShare -= pressureShare * (1 - reduced / processorShare);
            }
        }
        return actions;
    }

    /** Raises the processor share of the throttled task with the smallest pressure share. */
    private unthrottle(candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const throttled = candidates.filter(({ processorShare }) => processorShare < 1);
        throttled.sort((a, b) => a.pressureShare - b.pressureShare || byLostProcessorSeconds(a, b));
        return throttled.slice(0, 1).map(({ key, processorShare }) => ({
            kind: "unthrottle",
            key,
            processorShare: Math.min(1, processorShare / this.settings.throttleFactor),
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
        // A larger victim chosen later can make earlier ones unnecessary. Those that lose most work are dropped first.
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
        this.evictionLimiter.record(1, nowMs);
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
        for (const [key, evictedAtMs] of this.lastEvictedAtMs) {
            if (nowMs - evictedAtMs < this.settings.reevictionDelayMs) {
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
