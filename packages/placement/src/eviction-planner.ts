import type { Resources } from "@samphireward/core/resources";
import type { EvictionAction } from "./eviction-action.js";
import type { EvictionCandidate } from "./eviction-candidate.js";
import type { EvictionSettings } from "./eviction-settings.js";
import type { PressureState } from "./pressure-state.js";
import { SlidingBudget } from "./sliding-budget.js";

const defaults: EvictionSettings = {
    enterPressure: 1,
    leavePressure: 0.8,
    enterReports: 3,
    leaveReports: 3,
    throttleFactor: 0.5,
    leastShare: 0.25,
    evictPressure: 2,
    settleMs: 20_000,
    budget: 10,
    windowMs: 60_000,
    urgentReserve: 5,
    repeatMs: 5 * 60_000,
};

/** Tasks that cause less than this part of the greatest harm on the worker are left alone. */
const RelevantHarm = 0.25;

const relevantOf = (candidates: readonly EvictionCandidate[]): EvictionCandidate[] => {
    const greatest = Math.max(0, ...candidates.map(({ harm }) => harm));
    return candidates.filter(({ harm }) => harm >= RelevantHarm * greatest);
};

const byLostWork = (a: EvictionCandidate, b: EvictionCandidate): number =>
    a.lostWork - b.lostWork || (a.key < b.key ? -1 : 1);

/**
 * Chooses batch tasks to throttle or evict. Pressure is what was measured on a worker relative to its limit.
 * On an overloaded worker the tasks that cause most of it are throttled, as many as are estimated to bring the
 * pressure below the limit. Once the relevant tasks are throttled as far as allowed, the one that loses least
 * work is evicted, within the budget of the window. After each step the planner waits for its effect.
 */
export class EvictionPlanner {
    private readonly states = new Map<string, PressureState>();
    private readonly lastEvictedMs = new Map<string, number>();
    private readonly budget: SlidingBudget;

    private constructor(private readonly settings: EvictionSettings) {
        this.budget = SlidingBudget.create(settings.budget, settings.windowMs);
    }

    static create(settings: Partial<EvictionSettings> = {}): EvictionPlanner {
        return new EvictionPlanner({ ...defaults, ...settings });
    }

    isOverloaded(worker: string): boolean {
        return this.states.get(worker)?.overloaded ?? false;
    }

    forgetWorker(worker: string): void {
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
        const { enterPressure, leavePressure, settleMs } = this.settings;
        if (nowMs < state.settledMs) {
            return [];
        }
        let actions: readonly EvictionAction[] = [];
        if (state.overloaded && pressure >= enterPressure) {
            actions = this.relieve(pressure, candidates, nowMs);
        } else if (!state.overloaded && pressure <= leavePressure) {
            actions = this.relax(candidates);
        }
        if (actions.length > 0) {
            state.settledMs = nowMs + settleMs;
        }
        return actions;
    }

    /**
     * Tasks to evict so that `shortage` (what urgent work lacks on the worker, each value at least 0) is freed:
     * least lost work first. Empty when the candidates or the budget do not suffice.
     */
    makeRoom(
        shortage: Resources,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const chosen = this.chooseFor(shortage, candidates);
        if (chosen === undefined || chosen.length > this.budget.remaining(nowMs)) {
            return [];
        }
        return chosen.map(candidate => this.evict(candidate.key, nowMs));
    }

    private updateState(state: PressureState, pressure: number): void {
        const { enterPressure, leavePressure, enterReports, leaveReports } = this.settings;
        const speaksForChange = state.overloaded ? pressure <= leavePressure : pressure >= enterPressure;
        state.streak = speaksForChange ? state.streak + 1 : 0;
        if (state.streak >= (state.overloaded ? leaveReports : enterReports)) {
            state.overloaded = !state.overloaded;
            state.streak = 0;
        }
    }

    private relieve(
        pressure: number,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): readonly EvictionAction[] {
        const throttles = this.throttle(pressure, candidates);
        if (throttles.length > 0) {
            return throttles;
        }
        const { evictPressure, urgentReserve } = this.settings;
        if (pressure < evictPressure || this.budget.remaining(nowMs) <= urgentReserve) {
            return [];
        }
        const victim = relevantOf(candidates)
            .sort(byLostWork)
            .find(({ key }) => this.mayEvictAgain(key, nowMs));
        return victim === undefined ? [] : [this.evict(victim.key, nowMs)];
    }

    /** Throttling loses no work, so the most harmful tasks come first. */
    private throttle(pressure: number, candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const { enterPressure, leavePressure, throttleFactor, leastShare } = this.settings;
        const target = (enterPressure + leavePressure) / 2;
        let excess = 1 - target / pressure;
        const actions: EvictionAction[] = [];
        for (const { key, harm, share } of relevantOf(candidates).sort((a, b) => b.harm - a.harm)) {
            const reduced = Math.max(leastShare, share * throttleFactor);
            if (excess > 0 && reduced < share) {
                actions.push({ kind: "throttle", key, share: reduced });
                excess -= harm * (1 - reduced / share);
            }
        }
        return actions;
    }

    /** Gives processors back to one throttled task, the least harmful first. */
    private relax(candidates: readonly EvictionCandidate[]): EvictionAction[] {
        const throttled = candidates.filter(({ share }) => share < 1);
        throttled.sort((a, b) => a.harm - b.harm || byLostWork(a, b));
        return throttled.slice(0, 1).map(({ key, share }) => ({
            kind: "unthrottle",
            key,
            share: Math.min(1, share / this.settings.throttleFactor),
        }));
    }

    private chooseFor(
        shortage: Resources,
        candidates: readonly EvictionCandidate[],
    ): readonly EvictionCandidate[] | undefined {
        let chosen: EvictionCandidate[] = [];
        let missing = shortage;
        for (const candidate of [...candidates].sort(byLostWork)) {
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
        this.budget.spend(1, nowMs);
        this.lastEvictedMs.delete(key);
        this.lastEvictedMs.set(key, nowMs);
        this.forgetOldEvictions(nowMs);
        return { kind: "evict", key, share: 0 };
    }

    private mayEvictAgain(key: string, nowMs: number): boolean {
        const last = this.lastEvictedMs.get(key);
        return last === undefined || nowMs - last >= this.settings.repeatMs;
    }

    private forgetOldEvictions(nowMs: number): void {
        for (const [key, time] of this.lastEvictedMs) {
            if (nowMs - time < this.settings.repeatMs) {
                return;
            }
            this.lastEvictedMs.delete(key);
        }
    }

    private stateOf(worker: string): PressureState {
        let state = this.states.get(worker);
        if (state === undefined) {
            state = { overloaded: false, streak: 0, settledMs: 0 };
            this.states.set(worker, state);
        }
        return state;
    }
}

const isCovered = (missing: Resources): boolean =>
    missing.processors <= 0 && missing.memoryMb <= 0 && missing.accelerators <= 0;
