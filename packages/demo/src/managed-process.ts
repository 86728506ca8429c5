import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

const StopTimeoutMs = 15_000;

/** How a process ended. */
interface ProcessEnd {
    readonly exitCode: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** One process of a deployment; its output goes to a log file. */
export class ManagedProcess {
    readonly ended: Promise<ProcessEnd>;
    private end: ProcessEnd | undefined;

    private constructor(
        readonly name: string,
        private readonly child: ChildProcess,
    ) {
        this.ended = new Promise(resolve => {
            child.once("close", (exitCode, signal) => {
                this.end = { exitCode, signal };
                resolve(this.end);
            });
        });
    }

    /** Starts a compiled program with a settings file. */
    static create(name: string, program: string, settingsFile: string, logFile: string): ManagedProcess {
        const log = openSync(logFile, "a");
        const child = spawn(process.execPath, ["--enable-source-maps", program, "--config", settingsFile], {
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        return new ManagedProcess(name, child);
    }

    get pid(): number | undefined {
        return this.child.pid;
    }

    get running(): boolean {
        return this.end === undefined;
    }

    /** Sends a signal to this process only. */
    signal(name: NodeJS.Signals): void {
        if (this.running) {
            this.child.kill(name);
        }
    }

    /** Stops the process by SIGTERM and returns how it ended; by SIGKILL when it does not end in time. */
    async stop(): Promise<ProcessEnd> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), StopTimeoutMs);
        const end = await this.ended;
        clearTimeout(timer);
        return end;
    }
}
