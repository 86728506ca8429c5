import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { join } from "node:path";
import type { ProcessUsage } from "./process-usage.js";
import { readProcessUsage } from "./read-process-usage.js";

const StopTimeoutMs = 15_000;

/** As in the first line of the programs: a small young generation keeps a process below 128 MB. */
const NodeOptions = ["--max-semi-space-size=2", "--enable-source-maps"];

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
        private readonly bytesFile: string,
    ) {
        this.ended = new Promise(resolve => {
            child.once("close", (exitCode, signal) => {
                this.end = { exitCode, signal };
                resolve(this.end);
            });
        });
    }

    /** Starts a compiled program with a settings file. Its log and its socket counts go to `dir`. */
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

    /** What the process has used so far. */
    usage(): ProcessUsage {
        return readProcessUsage(this.child.pid ?? 0, this.bytesFile);
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
