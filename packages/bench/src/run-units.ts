import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { BenchLine } from "./bench-line.js";
import type { BenchUnit } from "./bench-unit.js";

/** Threads at the same time; the runs do not depend on each other. */
const Threads = 4;

/** Runs the units in threads, and returns each unit's lines in the units' order. */
export const runUnits = async (units: readonly BenchUnit[]): Promise<BenchLine[][]> => {
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
    await Promise.all(Array.from({ length: Threads }, runThread));
    return lines;
};
