import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";

/** A child process of a benchmark that has one role and answers one message at a time. */
export class BenchProcess {
    private constructor(private readonly child: ChildProcess) {}

    static create(script: string, execArgv: readonly string[] = []): BenchProcess {
        const path = fileURLToPath(new URL(script, import.meta.url));
        return new BenchProcess(fork(path, [], { execArgv: [...execArgv] }));
    }

    /** Sends a message and waits for the answer. Rejects if the process exits first. */
    ask<T>(message: object): Promise<T> {
        return new Promise((resolve, reject) => {
            const onExit = (): void => reject(new Error("a benchmark process exited before it answered"));
            this.child.once("exit", onExit);
            this.child.once("message", answer => {
                this.child.removeListener("exit", onExit);
                resolve(answer as T);
            });
            this.child.send(message);
        });
    }

    stop(): void {
        this.child.removeAllListeners("exit");
        this.child.disconnect();
    }
}
