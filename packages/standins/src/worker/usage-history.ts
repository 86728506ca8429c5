import type { Clock } from "@samphireward/core/clock";
import type { WorkerModel } from "./worker-model.js";

/** Sampling interval of the usage report. */
const SampleIntervalMs = 250;

/** What a usage report describes. */
interface UsageSample {
    readonly atMs: number;
    readonly tasks: readonly {
        readonly key: string;
        readonly attempt: number;
        readonly processors: number;
        readonly memoryMb: number;
        readonly slowdown: number;
    }[];
    readonly service: { readonly slotsInUse: number; readonly p99Ms: number };
}

/** Usage samples of a stand-in worker; a report is as old as the configured lag. */
export class UsageHistory {
    private samples: UsageSample[] = [];

    private constructor(
        private readonly model: WorkerModel,
        private readonly clock: Clock,
        private readonly lagMs: number,
        private readonly service: () => UsageSample["service"],
    ) {}

    static create(
        model: WorkerModel,
        clock: Clock,
        lagMs: number,
        service: () => UsageSample["service"],
    ): UsageHistory {
        return new UsageHistory(model, clock, lagMs, service);
    }

    /** Takes a sample when one is due. Called often. */
    sample(): void {
        const nowMs = this.clock.nowMs();
        const last = this.samples.at(-1);
        if (last !== undefined && nowMs - last.atMs < SampleIntervalMs) {
            return;
        }
        this.samples.push(this.measure(nowMs));
        // Keeps one sample older than the lag as the next report.
        while (this.samples.length > 1 && (this.samples[1]?.atMs ?? nowMs) <= nowMs - this.lagMs) {
            this.samples.shift();
        }
    }

    /** The newest sample that is at least as old as the lag, or an empty report shortly after the start. */
    report(): { lagMs: number } & Omit<UsageSample, "atMs"> {
        this.sample();
        const nowMs = this.clock.nowMs();
        const sample = this.samples.find(sample => nowMs - sample.atMs >= this.lagMs);
        if (sample === undefined) {
            return { lagMs: this.lagMs, tasks: [], service: { slotsInUse: 0, p99Ms: 0 } };
        }
        return { lagMs: nowMs - sample.atMs, tasks: sample.tasks, service: sample.service };
    }

    private measure(atMs: number): UsageSample {
        const running = this.model.tasks();
        const used = running.map(task => ({
            key: task.key,
            attempt: task.attempt,
            processors: (task.payload.usage?.processors ?? task.resources.processors) * task.share,
            memoryMb: task.payload.usage?.memoryMb ?? task.resources.memoryMb,
        }));
        const total = used.reduce((sum, task) => sum + task.processors, 0);
        const slowdown = Math.max(1, total / this.model.capacity.processors);
        return { atMs, tasks: used.map(task => ({ ...task, slowdown })), service: this.service() };
    }
}
