import type { CodedError } from "@samphireward/core/coded-error";
import type { StartCommand } from "@samphireward/tasks/start-command";
import type { AttemptRef } from "@samphireward/tasks/attempt-ref";
import { WorkerClient } from "@samphireward/tasks/worker-client";
import type { WorkerOutcome } from "@samphireward/tasks/worker-outcome";
import type { WorkerTasks } from "@samphireward/tasks/worker-tasks";
import type { WorkerUsage } from "@samphireward/tasks/worker-usage";
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";

type Answer<T> = Promise<Result<T, CodedError>>;

const done = (): Answer<void> => Promise.resolve(Ok(undefined));

/** An in-memory worker that completes every call at once, so that only the owner's own cost is measured. */
export class InstantWorker extends WorkerClient {
    private readonly running = new Map<string, AttemptRef>();
    private ended: WorkerOutcome[] = [];

    private constructor() {
        super();
    }

    static create(): InstantWorker {
        return new InstantWorker();
    }

    get taskCount(): number {
        return this.running.size;
    }

    /** Ends all running tasks. */
    finishAll(): void {
        for (const { key, attempt } of this.running.values()) {
            this.ended.push({ key, attempt, result: "finished", output: "" });
        }
        this.running.clear();
    }

    override start(command: StartCommand): Answer<void> {
        this.running.set(command.key, { key: command.key, attempt: command.attempt });
        return done();
    }

    override renew(): Answer<readonly AttemptRef[]> {
        return Promise.resolve(Ok([]));
    }

    override stop(task: AttemptRef): Answer<void> {
        this.running.delete(task.key);
        return done();
    }

    override checkpoint(task: AttemptRef): Answer<string> {
        return Promise.resolve(Ok(task.key));
    }

    override throttle(): Answer<void> {
        return done();
    }

    override announceEpoch(): Answer<void> {
        return done();
    }

    override tasks(): Answer<WorkerTasks> {
        return Promise.resolve(Ok({ epoch: 1, tasks: [], outcomes: [] }));
    }

    override usage(): Answer<WorkerUsage> {
        return Promise.resolve(Ok({ lagMs: 0, tasks: [], service: { slotsInUse: 0, p99Ms: 0 } }));
    }

    override outcomes(): Answer<readonly WorkerOutcome[]> {
        return Promise.resolve(Ok(this.ended));
    }

    override acknowledge(): Answer<void> {
        this.ended = [];
        return done();
    }
}
