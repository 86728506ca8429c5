import { CapacityIndex } from "./capacity-index.js";
import { isSlowWorker } from "./is-slow-worker.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { QueueRules } from "./queue-rules.js";
import type { Run } from "./run.js";
import { remainingRunMs } from "./remaining-run-ms.js";
import { RunPhase } from "./run-phase.js";
import type { Step } from "./step.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** What the marks of one plan depend on. */
interface MigrationContext {
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
}

/** A filler whose pace is below this counts as throttled. */
const LowPacePercent = 50;
/** A filler that has been throttled for this long migrates if another worker can take it. */
const LowPaceBeforeMigrationMs = 1_200;
/** A filler with this much progress is not migrated: the rest takes less time than the migration. */
const NearlyDonePercent = 85;
/** Most migrations in one plan, since each takes capacity that the choice for the others relied on. */
const MaxMigrationsPerPlan = 4;

/** Time for the stop, the listed end and the new start of a migrated run. */
const MigrationCostMs = 500;
/** A migration must shorten the remaining time by this factor, since estimates are rough. */
const MinMigrationGainRatio = 1.5;
/** Each migration costs a stop and a start, so a task that does no better elsewhere must stay eventually. */
const MaxMigrationsPerTask = 2;

const hasLongLowPace = (run: Run, nowMs: number): boolean => {
    const { spec } = run.task.step;
    const hasLowPace =
        spec.filler &&
        spec.checkpoints &&
        run.phase === RunPhase.Running &&
        !run.isStopRequested &&
        run.task.run === run &&
        run.task.copy === undefined &&
        run.worker.isReachable &&
        run.worker.pacePercentFor(spec.image) < LowPacePercent;
    run.lowPaceSinceMs = hasLowPace ? (run.lowPaceSinceMs ?? nowMs) : undefined;
    return run.lowPaceSinceMs !== undefined && nowMs - run.lowPaceSinceMs >= LowPaceBeforeMigrationMs;
};

/** Whether a run on a slow worker would end sooner elsewhere, from its checkpoint or from the beginning. */
const isStraggler = (run: Run, nowMs: number): boolean => {
    const { worker, task } = run;
    const { spec } = task.step;
    const canMigrate =
        !spec.lasting &&
        !spec.gang &&
        run.phase === RunPhase.Running &&
        !run.isStopRequested &&
        task.run === run &&
        task.copy === undefined &&
        worker.isReachable;
    if (!canMigrate || !isSlowWorker(worker, nowMs)) {
        return false;
    }
    const remaining = 1 - run.progressPercent / 100;
    const elsewhereMs = (spec.checkpoints ? remaining : 1) * spec.estimatedMs + MigrationCostMs;
    return remainingRunMs(run) > elsewhereMs * MinMigrationGainRatio;
};

/** Chooses the workers to which runs may migrate. Runs of one step share the scores of the workers. */
class TargetChooser {
    private capacity: CapacityIndex | undefined;
    private readonly rankings = new Map<Step, WorkerRanking>();

    private constructor(private readonly context: MigrationContext) {}

    static create(context: MigrationContext): TargetChooser {
        return new TargetChooser(context);
    }

    choose({ task }: Run): WorkerIncarnation | undefined {
        const { step } = task;
        const rule = this.context.rules.get(step.occurrence.job.spec.queue);
        return rule === undefined ? undefined : this.rankingFor(step, rule.service).choose(task);
    }

    private rankingFor(step: Step, service: string): WorkerRanking {
        let ranking = this.rankings.get(step);
        if (ranking === undefined) {
            const { fleet, effects, nowMs } = this.context;
            this.capacity ??= CapacityIndex.create(fleet.workers);
            const workers = this.capacity.candidates(step, true);
            ranking = WorkerRanking.create({ workers, step, service, effects, nowMs, requiresGoodFit: true });
            this.rankings.set(step, ranking);
        }
        return ranking;
    }
}

/** Whether fillers of any image are throttled on a worker. */
const hasLowPace = (worker: WorkerIncarnation): boolean => {
    for (const percent of worker.pacePercentByImage.values()) {
        if (percent < LowPacePercent) {
            return true;
        }
    }
    return false;
};

/** Whether a worker may have runs to mark, or runs whose time of low pace has to be reset. */
const mayHaveMigrations = (worker: WorkerIncarnation, nowMs: number): boolean =>
    worker.hadLowPaceRuns || (worker.isReachable && (isSlowWorker(worker, nowMs) || hasLowPace(worker)));

/**
 * Marks runs that would finish sooner elsewhere: fillers throttled for the sake of serving tasks, and tasks on slow
 * workers. They are stopped, with a checkpoint where the task supports it, and started again.
 */
export const markMigrations = (
    fleet: WorkerFleet,
    rules: QueueRules,
    effects: NeighbourEffects,
    nowMs: number,
): readonly Run[] => {
    const migrations: Run[] = [];
    const context = { fleet, rules, effects, nowMs };
    let chooser = TargetChooser.create(context);
    for (const worker of fleet.workers) {
        if (!mayHaveMigrations(worker, nowMs)) {
            continue;
        }
        worker.hadLowPaceRuns = false;
        for (const run of worker.runs.values()) {
            const isThrottled = hasLongLowPace(run, nowMs) && run.progressPercent < NearlyDonePercent;
            worker.hadLowPaceRuns ||= run.lowPaceSinceMs !== undefined;
            const mayMigrate =
                migrations.length < MaxMigrationsPerPlan && run.task.migrationCount < MaxMigrationsPerTask;
            if (mayMigrate && (isThrottled || isStraggler(run, nowMs))) {
                const target = chooser.choose(run);
                if (target !== undefined && !isSlowWorker(target, nowMs)) {
                    run.stopReason = StopReason.Migrated;
                    run.task.migrationCount++;
                    migrations.push(run);
                    // A run that is being stopped counts no longer in the scores of its worker.
                    chooser = TargetChooser.create(context);
                }
            }
        }
    }
    return migrations;
};
