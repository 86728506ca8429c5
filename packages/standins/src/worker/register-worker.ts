import { setTimeout as delay } from "node:timers/promises";

/** The directory may start after the workers; 60 refused attempts take 30 s. */
const MaxAttempts = 60;
const RetryDelayMs = 500;

const postEntry = async (directory: string, entry: object): Promise<boolean> => {
    try {
        const res = await fetch(`http://${directory}/v1/vms`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(entry),
            signal: AbortSignal.timeout(RetryDelayMs * 2),
        });
        await res.arrayBuffer();
        return res.ok;
    } catch {
        return false;
    }
};

/** Registers a worker with `POST /v1/vms`, retrying until the directory accepts it. Returns whether it did. */
export const registerWorker = async (directory: string, entry: object): Promise<boolean> => {
    for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
        if (await postEntry(directory, entry)) {
            return true;
        }
        await delay(RetryDelayMs);
    }
    return false;
};
