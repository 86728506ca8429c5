import type { RandomSource } from "@samphireward/core/random-source";
import type { UsageSample } from "@samphireward/placement/usage-sample";
import { draw } from "./draw.js";
import { requestSigma } from "./request-sigma.js";
import type { SimWorker } from "./sim-worker.js";
import type { UserProfile } from "./user-profile.js";

const ReportIntervalSeconds = 2;
/** Ratio of the 99th percentile of request times to their mean. */
const RequestP99Ratio = Math.exp(2.326 * requestSigma - requestSigma ** 2 / 2);
/** Limit on the ratio of a service's tail latency to the one without interference. */
const MaxTailRatio = 2;
const SlowdownNoiseSigma = 0.08;
const TailNoiseSigma = 0.15;

interface Report {
    readonly arrivalSecond: number;
    readonly worker: SimWorker;
    readonly sample: UsageSample;
    /** Measured tail latency of the service relative to its limit. */
    readonly pressure: number;
}

/** Usage reports of the workers, with measurement noise, delivered after the lag of the scenario. */
export class SimReports {
    private readonly reports: Report[] = [];

    private constructor(
        private readonly profile: UserProfile,
        private readonly reportLagSeconds: number,
        private readonly random: RandomSource,
    ) {}

    static create(profile: UserProfile, reportLagSeconds: number, random: RandomSource): SimReports {
        return new SimReports(profile, reportLagSeconds, random);
    }

    /** Sends the worker's report if it is due; the reports of the workers are spread over the interval. */
    send(worker: SimWorker, second: number): void {
        if ((second + Number(worker.name.slice(1))) % ReportIntervalSeconds !== 0) {
            return;
        }
        const service = this.profile.classes[0]?.name ?? "";
        const slowdowns = this.measureSlowdowns(worker);
        const baselineP99Ms = this.profile.meanRequestMs * RequestP99Ratio;
        const tail = baselineP99Ms * (worker.slowdowns[0] ?? 1) + worker.meanSlotWaitMs * Math.log(100);
        const p99Ms = tail * draw.logNormal(this.random, TailNoiseSigma);
        this.reports.push({
            arrivalSecond: second + this.reportLagSeconds,
            worker,
            pressure: p99Ms / baselineP99Ms / MaxTailRatio,
            sample: {
                worker: worker.name,
                observedAtMs: second * 1000,
                processors: this.profile.processors,
                load: worker.load,
                slowdownByClass: slowdowns,
                p99MsByService: new Map([[service, p99Ms]]),
            },
        });
    }

    /** Removes and returns the reports that have arrived, in the order in which they were sent. */
    takeArrived(second: number): Report[] {
        const pending = this.reports.findIndex(({ arrivalSecond }) => arrivalSecond > second);
        return this.reports.splice(0, pending === -1 ? this.reports.length : pending);
    }

    private measureSlowdowns(worker: SimWorker): Map<string, number> {
        const slowdowns = new Map<string, number>();
        for (const { simClass, classIndex } of worker.tasks) {
            if (!slowdowns.has(simClass.name)) {
                const noise = draw.logNormal(this.random, SlowdownNoiseSigma);
                slowdowns.set(simClass.name, (worker.slowdowns[classIndex] ?? 1) * noise);
            }
        }
        return slowdowns;
    }
}
