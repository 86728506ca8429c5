#!/usr/bin/env node
import { createLogger } from "@samphireward/core/create-logger";
import { runInBackground } from "@samphireward/core/run-in-background";
import { waitForStopSignal } from "@samphireward/core/wait-for-stop-signal";
import { readCliSettings } from "@samphireward/core/read-cli-settings";
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
            log.error("worker registration failed: the VM directory did not accept it", {
                worker: workerSettings.name,
            });
        }
    }
};

const settings = readCliSettings("samphireward-standin-worker", WorkerSettings);
// Exits at once, like a VM that disappears: clients get no notice, and a registration may still be pending.
runInBackground(
    "stop",
    waitForStopSignal().then(() => process.exit(0)),
    log,
);
await startAll(settings);
