import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { join } from "node:path";
import type { ProcessUsage } from "./process-usage.js";
import { readProcessUsage } from "./read-process-usage.js";

const StopTimeoutMs = 15_000;

/** As in the programs' first line. The small young generation keeps a process below 128 MB. */
const NodeOptions = ["--max-semi-space-size=2", "--enable-source-maps"];

/** How a process exited. */
interface ProcessExit {
    readonly exitCode: number | null;
    readonly signal: NodeJS.Signals | null;
}

/** A process of a deployment. Its output goes to a log file. */
export class ManagedProcess {
    readonly exited: Promise<ProcessExit>;
    private exit: ProcessExit | undefined;

    private constructor(
        readonly name: string,
        private readonly child: ChildProcess,
        private readonly bytesFile: string,
    ) {
        this.exited = new Promise(resolve => {
            child.once("close", (exitCode, signal) => {
                this.exit = { exitCode, signal };
                resolve(this.exit);
            });
        });
    }

    /** Starts a compiled program with a settings file. Its log and its socket byte counts are written to `dir`. */
    static create(name: string, program: string, settingsFile: string, dir: string): ManagedProcess {
        const log = openSync(join(dir, `${name}.log`), "a");
        const counter = new URL("./count-bytes.js", import.meta.url).href;
        const args = [...NodeOptions, "--import", counter, program, "--config", settingsFile];
        const bytesFile = join(dir, `${name}.bytes.json`);
        const child = spawn(process.execPath, args, {
            stdio: ["ignore", log, log],
            env: { ...process.env, BYTES_FILE: bytesFile },
        });
        closeSync(log);
        return new ManagedProcess(name, child, bytesFile);
    }

    /** Reads the resources that the process has used since it started. */
    readUsage(): ProcessUsage {
        return readProcessUsage(this.child.pid ?? 0, this.bytesFile);
    }

    get isRunning(): boolean {
        return this.exit === undefined;
    }

    /** Sends a signal to this process if it is still running. */
    signal(name: NodeJS.Signals): void {
        if (this.isRunning) {
            this.child.kill(name);
        }
    }

    /** Sends SIGTERM, then SIGKILL if the process has not exited after `StopTimeoutMs`. Returns how it exited. */
    async stop(): Promise<ProcessExit> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), StopTimeoutMs);
        const exit = await this.exited;
        clearTimeout(timer);
        return exit;
    }
}
