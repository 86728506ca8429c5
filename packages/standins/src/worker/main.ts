#!/usr/bin/env node
import { parseArgs } from "node:util";
import { createLogger } from "@samphireward/core/create-logger";
import { loadSettings } from "@samphireward/core/load-settings";
import { registerWorker } from "./register-worker.js";
import { StandinWorker } from "./standin-worker.js";
import { WorkerSettings } from "./worker-settings.js";

const log = createLogger("samphireward-standin-worker");

const startAll = async (settings: WorkerSettings): Promise<void> => {
    for (const workerSettings of settings.workers) {
        const worker = StandinWorker.create(workerSettings);
        await worker.start();
        log.info("worker listens", { worker: workerSettings.name, taskListen: workerSettings.taskListen });
        if (
            settings.directory !== undefined &&
            !(await registerWorker(settings.directory, worker.directoryEntry()))
        ) {
            log.error("the directory does not accept the worker", { worker: workerSettings.name });
        }
    }
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { config: { type: "string" } } });
    const settings = loadSettings(values.config ?? "", WorkerSettings);
    if (settings.isErr()) {
        for (const problem of settings.error) {
            process.stderr.write(`${problem.file}: ${problem.key}: ${problem.message}\n`);
        }
        process.exitCode = 5;
        return;
    }
    process.on("SIGTERM", () => process.exit(0));
    await startAll(settings.value);
};

await main();
