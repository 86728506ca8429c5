import { setTimeout as delay } from "node:timers/promises";

/** The directory may start after the workers; 60 tries are 30 s. */
const Tries = 60;
const RetryDelayMs = 500;

const tryPost = async (directory: string, entry: object): Promise<boolean> => {
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

/** Registers a worker with `POST /v1/vms`, repeated until the directory answers. Resolves with success. */
export const registerWorker = async (directory: string, entry: object): Promise<boolean> => {
    for (let count = 0; count < Tries; count += 1) {
        if (await tryPost(directory, entry)) {
            return true;
        }
        await delay(RetryDelayMs);
    }
    return false;
};
