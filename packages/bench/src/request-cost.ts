import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import { BenchProcess } from "./bench-process.js";

/** Goals of docs/requests.md. */
const MaxCostRatio = 1.3;
const MinGoodputShareAtFiveTimes = 0.95;

/** Many short, alternating rounds, because other load on the machine changes the costs from second to second. */
const Rounds = 30;
const WarmUpRounds = 4;
const RequestsPerRound = 2_500;
const Concurrency = 16;
const LatencyRequestsPerSecond = 1_000;
const LatencyRounds = 10;
const LatencyRequestsPerRound = 1_500;
const WorkerCount = 4;
const SlotsPerWorker = 8;
const ServiceTimeMs = 20;
const OverloadDurationMs = 4_000;
const AnswerBytes = 300;

interface LoadResult {
    answered: number;
    refused: number;
    failed: number;
    durationMs: number;
    latencies: string;
}

const startRole = async (role: string, options: object): Promise<{ process: BenchProcess; port: number }> => {
    const process = BenchProcess.create("./request-cost-role.js");
    const { port } = await process.ask<{ port: number }>({ start: { role, ports: [], ...options } });
    return { process, port };
};

const print = (line: object): void => {
    process.stdout.write(`${JSON.stringify(line)}\n`);
};

const median = (values: readonly number[]): number =>
    [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

/** Processor time that the proxy process uses for each request. */
const measureCost = async (
    proxy: { process: BenchProcess; port: number },
    load: BenchProcess,
    bodyBytes: number,
): Promise<number> => {
    const before = await proxy.process.ask<{ processorUs: number }>({});
    const plan = { port: proxy.port, count: RequestsPerRound, concurrency: Concurrency, rate: 0, bodyBytes };
    const result = await load.ask<LoadResult>({ load: plan });
    const after = await proxy.process.ask<{ processorUs: number }>({});
    if (result.answered !== RequestsPerRound) {
        throw new Error(`${RequestsPerRound - result.answered} requests were not answered`);
    }
    return (after.processorUs - before.processorUs) / RequestsPerRound;
};

const compareCost = async (bodyBytes: number): Promise<boolean> => {
    const backEnd = await startRole("back-end", { slots: 64, serviceMs: 0, answerBytes: AnswerBytes });
    const ports = [backEnd.port];
    const passThrough = await startRole("pass-through", { ports });
    const handler = await startRole("handler", { ports, slots: 64 });
    const load = await startRole("load", {});
    const costs: { passThrough: number[]; handler: number[] } = { passThrough: [], handler: [] };
    for (let index = 0; index < WarmUpRounds + Rounds; index += 1) {
        const passThroughUs = await measureCost(passThrough, load.process, bodyBytes);
        const handlerUs = await measureCost(handler, load.process, bodyBytes);
        if (index >= WarmUpRounds) {
            costs.passThrough.push(passThroughUs);
            costs.handler.push(handlerUs);
        }
    }
    const times = median(costs.handler.map((cost, index) => cost / (costs.passThrough[index] ?? cost)));
    print({
        measure: "processor time for each request",
        bodyBytes,
        passThroughUs: round(median(costs.passThrough), 1),
        handlerUs: round(median(costs.handler), 1),
        smallest: [Math.min(...costs.passThrough), Math.min(...costs.handler)].map(cost => round(cost, 1)),
        times: round(times, 2),
    });
    [backEnd, passThrough, handler, load].forEach(each => each.process.stop());
    return times <= MaxCostRatio;
};

const measureLatency = async (load: BenchProcess, port: number): Promise<LatencyRecorder> => {
    const count = LatencyRequestsPerRound;
    const { latencies } = await load.ask<LoadResult>({
        load: { port, count, concurrency: 0, rate: LatencyRequestsPerSecond, bodyBytes: 0 },
    });
    return LatencyRecorder.decode(latencies);
};

const percentiles = [50, 99, 99.9] as const;

const compareLatency = async (): Promise<void> => {
    const backEnd = await startRole("back-end", { slots: 64, serviceMs: 0, answerBytes: AnswerBytes });
    const ports = [backEnd.port];
    const passThrough = await startRole("pass-through", { ports });
    const handler = await startRole("handler", { ports, slots: 64 });
    const load = await startRole("load", {});
    const measured = [
        { name: "direct", port: backEnd.port, recorder: LatencyRecorder.create() },
        { name: "pass-through", port: passThrough.port, recorder: LatencyRecorder.create() },
        { name: "handler", port: handler.port, recorder: LatencyRecorder.create() },
    ];
    // The first two rounds warm up the JIT compiler and are not counted.
    for (let index = -2; index < LatencyRounds; index += 1) {
        for (const { port, recorder } of measured) {
            const result = await measureLatency(load.process, port);
            if (index >= 0) {
                recorder.merge(result);
            }
        }
    }
    const direct = measured[0]?.recorder ?? LatencyRecorder.create();
    for (const { name, recorder } of measured) {
        const values = percentiles.map(each => recorder.percentileMs(each));
        const added = percentiles.map(each => round(recorder.percentileMs(each) - direct.percentileMs(each)));
        print({
            measure: `latency in ms at ${LatencyRequestsPerSecond}/s`,
            name,
            percentiles,
            values,
            added,
        });
    }
    [backEnd, passThrough, handler, load].forEach(each => each.process.stop());
};

const measureGoodput = async (): Promise<boolean> => {
    const backEnd = { slots: SlotsPerWorker, serviceMs: ServiceTimeMs, answerBytes: AnswerBytes };
    const workers = await Promise.all(
        Array.from({ length: WorkerCount }, () => startRole("back-end", backEnd)),
    );
    const ports = workers.map(worker => worker.port);
    const handler = await startRole("handler", { ports, slots: SlotsPerWorker });
    const load = await startRole("load", {});
    const capacity = (WorkerCount * SlotsPerWorker * 1000) / ServiceTimeMs;
    const goodputs = new Map<number, number>();
    for (const times of [0.5, 1, 2, 5]) {
        const rate = capacity * times;
        const count = Math.round((rate * OverloadDurationMs) / 1000);
        const result = await load.process.ask<LoadResult>({
            load: { port: handler.port, count, concurrency: 0, rate, bodyBytes: 0 },
        });
        const goodput = (result.answered * 1000) / result.durationMs;
        goodputs.set(times, goodput);
        const latencies = LatencyRecorder.decode(result.latencies);
        print({
            measure: "goodput",
            times,
            offeredPerSecond: rate,
            goodputPerSecond: round(goodput, 1),
            refused: result.refused,
            failed: result.failed,
            p50Ms: latencies.percentileMs(50),
            p99Ms: latencies.percentileMs(99),
        });
    }
    [...workers, handler, load].forEach(each => each.process.stop());
    const peak = Math.max(...goodputs.values());
    const share = (goodputs.get(5) ?? 0) / peak;
    print({ measure: "goodput at 5x as a share of the peak", share: round(share) });
    return share >= MinGoodputShareAtFiveTimes;
};

/** The argument `cost`, `goodput` or `latency` selects one part; without an argument, all parts run. */
const part = process.argv[2];
const isSelected = (name: string): boolean => part === undefined || part === name;

const goals: Record<string, boolean> = {};
if (isSelected("cost")) {
    goals["processor time without body"] = await compareCost(0);
    goals["processor time with a body of 1 kB"] = await compareCost(1_000);
}
if (isSelected("goodput")) {
    goals["goodput at 5x"] = await measureGoodput();
}
if (isSelected("latency")) {
    await compareLatency();
}
print({ goals });
process.exitCode = Object.values(goals).every(Boolean) ? 0 : 1;
