import type { Clock } from "@samphireward/core/clock";
import type { WorkerModel } from "./worker-model.js";

/** Sampling interval of the usage report. */
const SampleIntervalMs = 250;

/** Resource usage of a worker at one time. */
interface UsageSample {
    readonly sampledAtMs: number;
    readonly tasks: readonly {
        readonly key: string;
        readonly attempt: number;
        readonly processors: number;
        readonly memoryMb: number;
        readonly slowdown: number;
    }[];
    readonly service: { readonly slotsInUse: number; readonly p99Ms: number };
}

/** Usage samples of a stand-in worker. A report is at least as old as the configured lag. */
export class UsageHistory {
    private samples: UsageSample[] = [];

    private constructor(
        private readonly model: WorkerModel,
        private readonly clock: Clock,
        private readonly lagMs: number,
        private readonly readServiceUsage: () => UsageSample["service"],
    ) {}

    static create(
        model: WorkerModel,
        clock: Clock,
        lagMs: number,
        readServiceUsage: () => UsageSample["service"],
    ): UsageHistory {
        return new UsageHistory(model, clock, lagMs, readServiceUsage);
    }

    /** Takes a sample if `SampleIntervalMs` have passed since the last one. */
    sample(): void {
        const nowMs = this.clock.nowMs();
        const last = this.samples.at(-1);
        if (last !== undefined && nowMs - last.sampledAtMs < SampleIntervalMs) {
            return;
        }
        this.samples.push(this.takeSample(nowMs));
        // Keeps one sample that is at least as old as the lag, for the next report.
        while (this.samples.length > 1 && (this.samples[1]?.sampledAtMs ?? nowMs) <= nowMs - this.lagMs) {
            this.samples.shift();
        }
    }

    /** Returns the newest sample that is at least as old as the lag, or an empty report while there is none yet. */
    report(): { lagMs: number } & Omit<UsageSample, "sampledAtMs"> {
        this.sample();
        const nowMs = this.clock.nowMs();
        const sample = this.samples.find(sample => nowMs - sample.sampledAtMs >= this.lagMs);
        if (sample === undefined) {
            return { lagMs: this.lagMs, tasks: [], service: { slotsInUse: 0, p99Ms: 0 } };
        }
        return {
            lagMs: nowMs - sample.sampledAtMs,
            tasks: sample.tasks,
            service: sample.service,
        };
    }

    private takeSample(sampledAtMs: number): UsageSample {
        const running = this.model.tasks();
        const used = running.map(task => ({
            key: task.key,
            attempt: task.attempt,
            processors: (task.payload.usage?.processors ?? task.resources.processors) * task.relativeSpeed,
            memoryMb: task.payload.usage?.memoryMb ?? task.resources.memoryMb,
        }));
        const total = used.reduce((sum, task) => sum + task.processors, 0);
        const slowdown = Math.max(1, total / this.model.capacity.processors);
        return {
            sampledAtMs,
            tasks: used.map(task => ({ ...task, slowdown })),
            service: this.readServiceUsage(),
        };
    }
}
