import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { CallerResult } from "./caller-result.js";
import type { Deployment } from "./deployment.js";
import type { TaskLoad } from "./task-load.js";
import type { WorkerCounts } from "./worker-counts.js";

const AnsweredCode = 1000;

/** Results and violations of one run, as counted by the callers and the workers. */
export class RunReport {
    readonly violations: string[] = [];
    /** Number of unanswered requests by second of the run, entry VM and code. */
    readonly failures: string[] = [];
    private readonly latencies = LatencyRecorder.create();
    private readonly countByCode = new Map<number, number>();
    private taskLines: string[] = [];

    private constructor(private readonly user: string) {}

    static async create(
        deployment: Deployment,
        results: readonly CallerResult[],
        tasks: TaskLoad,
    ): Promise<RunReport> {
        const report = new RunReport(deployment.plan.user);
        report.countResults(results);
        report.describeFailures(deployment, results);
        const stats = [...deployment.countsBeforeKill, ...(await deployment.readWorkerCounts())];
        report.checkWorkers(stats, results);
        report.checkTasks(tasks, stats);
        return report;
    }

    /** Number of requests that were refused, failed or cut off. */
    get unansweredCount(): number {
        const total = [...this.countByCode.values()].reduce((sum, count) => sum + count, 0);
        return total - (this.countByCode.get(AnsweredCode) ?? 0);
    }

    /** Number of requests with the given code; 0 stands for a failed connection or no healthy entry process. */
    countWithCode(code: number): number {
        return this.countByCode.get(code) ?? 0;
    }

    /** Formats the results as lines of text. */
    formatLines(): string[] {
        const codes = [...this.countByCode]
            .sort(([a], [b]) => a - b)
            .map(([code, count]) => `${code}: ${count}`);
        return [
            `${this.user}: requests by code  ${codes.join(", ")}`,
            `${this.user}: answered latency  p50 ${this.formatPercentile(50)}, p99 ${this.formatPercentile(99)}, p99.9 ${this.formatPercentile(99.9)}`,
            ...this.taskLines,
            ...this.failures.map(failure => `${this.user}: unanswered        ${failure}`),
            `${this.user}: violations        ${this.violations.length}`,
            ...this.violations.map(violation => `${this.user}:   ${violation}`),
        ];
    }

    private formatPercentile(percentile: number): string {
        return `${this.latencies.percentileMs(percentile).toFixed(1)} ms`;
    }

    private countResults(results: readonly CallerResult[]): void {
        for (const { code, hasExpectedBody, latencyMs, id } of results) {
            this.countByCode.set(code, (this.countByCode.get(code) ?? 0) + 1);
            if (code === AnsweredCode) {
                this.latencies.record(latencyMs);
                if (!hasExpectedBody) {
                    this.violations.push(
                        `request ${id} got a response body that is truncated or belongs to another request`,
                    );
                }
            }
        }
    }

    private describeFailures(deployment: Deployment, results: readonly CallerResult[]): void {
        const firstMs = Math.min(...results.map(result => result.startMs));
        const counts = new Map<string, number>();
        for (const { code, startMs, entry } of results.filter(result => result.code !== AnsweredCode)) {
            const second = Math.floor((startMs - firstMs) / 1000);
            const vm = deployment.addresses.entryVms.find(({ callers }) => callers === entry)?.name ?? "none";
            const key = `second ${second}, ${vm}, code ${code}`;
            counts.set(key, (counts.get(key) ?? 0) + 1);
        }
        this.failures.push(...[...counts].map(([key, count]) => `${key}: ${count}`));
    }

    private checkWorkers(stats: readonly WorkerCounts[], results: readonly CallerResult[]): void {
        const runs = new Map<string, number>();
        for (const [id, count] of stats.flatMap(worker => Object.entries(worker.requests))) {
            runs.set(id, (runs.get(id) ?? 0) + count);
        }
        for (const { id, idempotent, code } of results) {
            const count = runs.get(id) ?? 0;
            if (!idempotent && count > 1) {
                this.violations.push(`request ${id} is not idempotent but ran ${count} times`);
            }
            if (code >= 2000 && code < 3000 && count > 0) {
                this.violations.push(`request ${id} was refused as not run (${code}) but ran ${count} times`);
            }
        }
        this.checkCount(stats, "overcommitRefusals", "starts that exceeded a worker's capacity");
        this.checkCount(stats, "concurrentDuplicates", "starts of a task that was still running");
        this.checkCount(stats, "overSlotRefusals", "requests that exceeded a worker's slots");
    }

    private checkCount(
        stats: readonly WorkerCounts[],
        name: "overcommitRefusals" | "concurrentDuplicates" | "overSlotRefusals",
        text: string,
    ): void {
        const count = stats.reduce((sum, worker) => sum + worker[name], 0);
        if (count > 0) {
            this.violations.push(`${count} ${text}`);
        }
    }

    private checkTasks(tasks: TaskLoad, stats: readonly WorkerCounts[]): void {
        const finished = tasks.acceptedKeys.filter(key => tasks.stateByKey.get(key) === "finished");
        const starts = stats.reduce((sum, worker) => sum + Object.keys(worker.starts).length, 0);
        this.taskLines = [
            `${this.user}: tasks             accepted ${tasks.acceptedKeys.length}, started ${starts}, finished ${finished.length}`,
        ];
        for (const key of tasks.acceptedKeys.filter(key => tasks.stateByKey.get(key) !== "finished")) {
            this.violations.push(`task ${key} ended as ${tasks.stateByKey.get(key) ?? "unknown"}`);
        }
        const attempts = new Map<string, number>();
        for (const [attempt, count] of stats.flatMap(worker => Object.entries(worker.starts))) {
            attempts.set(attempt, (attempts.get(attempt) ?? 0) + count);
        }
        for (const [attempt, count] of attempts) {
            if (count > 1) {
                this.violations.push(`attempt ${attempt} started ${count} times`);
            }
        }
    }
}
