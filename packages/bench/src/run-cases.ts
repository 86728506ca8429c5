import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { BenchLine } from "./bench-line.js";
import type { BenchCase } from "./bench-case.js";

/** Threads that run at the same time; the cases are independent of each other. */
const ThreadCount = 4;

/** Runs the cases in worker threads, and returns the lines of each, in the order of the cases. */
export const runCases = async (cases: readonly BenchCase[]): Promise<BenchLine[][]> => {
    const waiting = [...cases.entries()];
    const lines: BenchLine[][] = cases.map(() => []);
    const runThread = async (): Promise<void> => {
        const thread = new Worker(new URL("./bench-thread.js", import.meta.url));
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
            const [index, benchCase] = next;
            thread.postMessage(benchCase);
            const [result] = (await once(thread, "message")) as [BenchLine[]];
            lines[index] = result;
        }
        await thread.terminate();
    };
    await Promise.all(Array.from({ length: ThreadCount }, runThread));
    return lines;
};
