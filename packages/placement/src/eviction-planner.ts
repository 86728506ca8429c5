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
    throttleShare: 0.5,
    settleMs: 20_000,
    budget: 10,
    windowMs: 60_000,
    urgentReserve: 5,
    repeatMs: 5 * 60_000,
};

/** Tasks that cause less than this part of the greatest harm on the worker are left alone. */
const RelevantHarm = 0.5;

const byLostWork = (a: EvictionCandidate, b: EvictionCandidate): number =>
    a.lostWork - b.lostWork || (a.key < b.key ? -1 : 1);

/**
 * Chooses batch tasks to throttle or evict. Pressure is what was measured on a worker relative to its limit.
 * An overloaded worker first has one task throttled for each settle time; once all relevant tasks are
 * throttled, the one that loses least work is evicted, within the budget of the window.
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

    /** Takes one report of a worker's pressure, and returns the action to carry out, if any. */
    observe(
        worker: string,
        pressure: number,
        candidates: readonly EvictionCandidate[],
        nowMs: number,
    ): EvictionAction | undefined {
        const state = this.stateOf(worker);
        this.updateState(state, pressure);
        if (nowMs < state.settledMs) {
            return undefined;
        }
        const action = state.overloaded
            ? pressure >= this.settings.enterPressure && this.relieve(candidates, nowMs)
            : pressure <= this.settings.leavePressure && this.relax(candidates);
        if (!action) {
            return undefined;
        }
        state.settledMs = nowMs + this.settings.settleMs;
        return action;
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

    private relieve(candidates: readonly EvictionCandidate[], nowMs: number): EvictionAction | undefined {
        const greatest = Math.max(0, ...candidates.map(candidate => candidate.harm));
        const relevant = candidates
            .filter(candidate => candidate.harm >= RelevantHarm * greatest)
            .sort(byLostWork);
        const unthrottled = relevant.find(candidate => !candidate.throttled);
        if (unthrottled !== undefined) {
            return { kind: "throttle", key: unthrottled.key, share: this.settings.throttleShare };
        }
        if (this.budget.remaining(nowMs) <= this.settings.urgentReserve) {
            return undefined;
        }
        const victim = relevant.find(candidate => this.mayEvictAgain(candidate.key, nowMs));
        return victim && this.evict(victim.key, nowMs);
    }

    /** Gives the processors back to one throttled task, the least harmful first. */
    private relax(candidates: readonly EvictionCandidate[]): EvictionAction | undefined {
        const throttled = candidates.filter(candidate => candidate.throttled);
        throttled.sort((a, b) => a.harm - b.harm || byLostWork(a, b));
        const first = throttled[0];
        return first && { kind: "unthrottle", key: first.key, share: 1 };
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
