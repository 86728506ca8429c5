import type { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import type { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { OwnerCore } from "./owner-core.js";
import type { TaskExplanation } from "./task-explanation.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerLink } from "./worker-link.js";
import { workerStateOf } from "./worker-state-of.js";

const exclusionReasonOf = (entry: WorkerEntry, state: string, resources: Resources): string | undefined => {
    if (!entry.open) {
        return state === "open" ? "waits for the judgement of a crash" : `is ${state}`;
    }
    if (entry.heldFor !== undefined) {
        return "is kept free for another task";
    }
    if (entry.fits(resources)) {
        return undefined;
    }
    if (!entry.fitsWhenEmpty(resources)) {
        return "is too small for the task";
    }
    const { processors, memoryMb } = entry.shortage(resources);
    if (processors > 0) {
        return "has too few free processors";
    }
    return memoryMb > 0 ? "has too little free memory" : "has too few free accelerators";
};

/** Counts the workers that have room, and the others by reason. */
const explainWorkers = (core: OwnerCore, resources: Resources): TaskExplanation["workers"] => {
    const counts = new Map<string, number>();
    let suitable = 0;
    let total = 0;
    for (const link of core.workers.all) {
        total++;
        const reason = exclusionReasonOf(link.entry, workerStateOf(core, link), resources);
        if (reason === undefined) {
            suitable++;
        } else {
            counts.set(reason, (counts.get(reason) ?? 0) + 1);
        }
    }
    const excluded = [...counts].map(([reason, count]) => ({ reason, count }));
    excluded.sort((a, b) => b.count - a.count);
    return { total, suitable, excluded, isPartial: false };
};

/** Monotonic time at which the declared ends of its tasks leave room on a worker; Infinity if they do not. */
const roomMs = (
    { entry, attempts }: WorkerLink,
    core: OwnerCore,
    resources: Resources,
    nowMs: number,
): number => {
    if (!entry.open || entry.heldFor !== undefined || entry.fits(resources)) {
        return entry.open && entry.heldFor === undefined ? nowMs : Infinity;
    }
    const ends = [...attempts.values()].map(({ key, resources: reserved, runningSinceMs }) => {
        const runMs = core.task(key)?.spec.expectedRunMs ?? Infinity;
        return { reserved, endMs: Math.max(nowMs, (runningSinceMs || nowMs) + runMs) };
    });
    let { reserved } = entry;
    for (const end of ends.sort((a, b) => a.endMs - b.endMs)) {
        reserved = reserved.minus(end.reserved);
        if (reserved.plus(resources).fitsIn(entry.capacity)) {
            return end.endMs;
        }
    }
    return Infinity;
};

const toRecord = (spec: TaskSpec, wallMs: number): TaskRecord => ({
    spec,
    state: TaskState.Queued,
    attempt: 0,
    worker: undefined,
    checkpoint: undefined,
    failures: [],
    losses: [],
    cancelRequested: false,
    output: "",
    wallMs,
});

/** Expected times, on the wall clock, of a task that starts at a monotonic time. */
const expectedTimes = (
    core: OwnerCore,
    { expectedRunMs }: TaskSpec,
    startMs: number,
): Partial<TaskExplanation> => {
    const expectedStartMs = Math.round(core.wallMs() + startMs - core.options.clock.nowMs());
    return startMs === Infinity
        ? {}
        : { expectedStartMs, expectedTaskEndMs: expectedStartMs + expectedRunMs };
};

/**
 * Explains where a task would be placed if it were accepted now; `refusal` is the error that its submission would get.
 * Changes nothing: the task is not queued, and no worker is held and no quota reserved for it.
 */
export const explainTask = (
    core: OwnerCore,
    spec: TaskSpec,
    refusal: CodedError | undefined,
): TaskExplanation =>
    core.readWorkers(() => {
        const nowMs = core.options.clock.nowMs();
        const { key, resources, pool: name } = spec;
        const pool = core.placer.pool(name);
        const preview = core.placer.preview(toRecord(spec, core.wallMs()), nowMs);
        const { processors, memoryMb, accelerators } = resources;
        const shared = {
            job: key,
            queue: {
                pool: name,
                team: pool?.team ?? "",
                class: pool?.class ?? "",
                order: "latency-critical first, then oldest first",
            },
            step: { number: 0, count: 1, reserves: { processors, memoryMb, accelerators } },
            ahead: {
                steps: preview.tasksAhead,
                tasks: preview.tasksAhead,
                processorMs: preview.processorMsAhead,
                waitingSteps: preview.waitingTasks,
                startableSteps: preview.startableAhead,
                isPartial: preview.isPartial,
            },
            workers: explainWorkers(core, resources),
        };
        const known = core.task(key);
        if (known !== undefined) {
            const reason = `a task with this key was accepted earlier and is ${known.state}`;
            return { ...shared, outcome: "known", reason };
        }
        if (refusal !== undefined) {
            const reason = `${refusal.code} ${describeCode(refusal.code).name}: ${refusal.message}`;
            return { ...shared, outcome: "refused", reason };
        }
        const { worker, reason } = preview;
        if (worker === undefined || !core.mayGrant()) {
            const links = [...core.workers.all];
            const startMs = Math.min(Infinity, ...links.map(link => roomMs(link, core, resources, nowMs)));
            return {
                ...shared,
                outcome: "waits",
                reason:
                    worker === undefined
                        ? reason
                        : "the owner may start nothing until it has renewed its lease",
                ...expectedTimes(core, spec, startMs),
            };
        }
        const { name: id, rack, capacity, reserved } = worker;
        const freeProcessors = capacity.processors - reserved.processors;
        return {
            ...shared,
            outcome: "starts",
            worker: { id, rack, freeProcessors },
            ...expectedTimes(core, spec, nowMs),
        };
    });
