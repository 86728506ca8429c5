import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { BenchLine } from "./bench-line.js";
import type { BenchCase } from "./bench-case.js";

/** Threads at the same time; the runs do not depend on each other. */
const ThreadCount = 4;

/** Runs the units in threads, and returns each unit's lines in the units' order. */
export const runCases = async (units: readonly BenchCase[]): Promise<BenchLine[][]> => {
    const waiting = [...units.entries()];
    const lines: BenchLine[][] = units.map(() => []);
    const runThread = async (): Promise<void> => {
        const thread = new Worker(new URL("./bench-thread.js", import.meta.url));
        for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
            const [index, unit] = next;
            thread.postMessage(unit);
            const [result] = (await once(thread, "message")) as [BenchLine[]];
            lines[index] = result;
        }
        await thread.terminate();
    };
    await Promise.all(Array.from({ length: ThreadCount }, runThread));
    return lines;
};
