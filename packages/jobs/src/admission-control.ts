import type { Clock } from "@samphireward/core/clock";
import type { EndEstimate } from "./end-estimate.js";
import { estimateEnd } from "./estimate-end.js";
import type { JobRegistry } from "./job-registry.js";
import type { JobSpec } from "./job-spec.js";
import type { QueueRules } from "./queue-rules.js";
import type { QueueBacklog } from "./queue-backlog.js";
import { queueBacklogOf } from "./queue-backlog-of.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Time for which a computed backlog is reused: jobs arrive much faster than it changes. */
const RefreshMs = 100;
/** An owner refuses nothing for this long: until then it does not know what runs on all of the workers. */
const SettleMs = 5_000;

/** State of the cell that an owner's estimates are based on. */
interface AdmissionContext {
    readonly clock: Clock;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    /** Number of workers of previous owners that have not listed their runs. */
    readonly unreadWorkers: () => number;
}

/** Estimates for the owner of a cell whether the results of jobs that are handed in now would still be of use. */
export class AdmissionControl {
    /** Computed backlogs by priority and service; `atMs` is the monotonic time of the computation. */
    private readonly backlogs = new Map<string, QueueBacklog & { readonly atMs: number }>();
    private readonly settledAtMs: number;

    private constructor(private readonly context: AdmissionContext) {
        this.settledAtMs = context.clock.nowMs() + SettleMs;
    }

    static create(context: AdmissionContext): AdmissionControl {
        return new AdmissionControl(context);
    }

    /** Returns undefined if nothing can be said: the job's queue is unknown, or the owner is too new. */
    estimate(spec: JobSpec): EndEstimate | undefined {
        const { clock, jobs, rules, unreadWorkers } = this.context;
        const rule = rules.get(spec.queue);
        const nowMs = clock.nowMs();
        if (nowMs < this.settledAtMs || unreadWorkers() > 0) {
            return undefined;
        }
        if (rule === undefined) {
            return undefined;
        }
        const key = `${rule.priority} ${rule.service}`;
        let backlog = this.backlogs.get(key);
        if (backlog === undefined || nowMs - backlog.atMs >= RefreshMs) {
            backlog = {
                ...queueBacklogOf(rule, { ...this.context, nowMs, wallMs: clock.wallMs() }),
                atMs: nowMs,
            };
            this.backlogs.set(key, backlog);
        }
        const estimate = estimateEnd(spec, rule, backlog, clock.wallMs());
        // A repeat of an accepted job is accepted, but says nothing about the jobs that follow.
        const isKnown = jobs.get(spec.id) !== undefined;
        return isKnown ? { ...estimate, isUseful: true, usefulInMs: 0 } : estimate;
    }
}
