import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import type { WriteStream } from "node:fs";
import { createWriteStream, readFileSync } from "node:fs";
import { join } from "node:path";
import type { ProcessUsage } from "./process-usage.js";
import { readProcessUsage } from "./read-process-usage.js";

const StopTimeoutMs = 15_000;

/** As in the programs' first line. The small young generation keeps a process below 128 MB. */
const NodeOptions = ["--max-semi-space-size=2", "--enable-source-maps"];

/** Enough for the message and the stack of an uncaught error. */
const LastLineCount = 20;
const MaxLineLength = 300;

const readLastLines = (file: string): string[] =>
    readFileSync(file, "utf8")
        .trimEnd()
        .split("\n")
        .slice(-LastLineCount)
        .map(line => `    ${line.slice(0, MaxLineLength)}`);

/** How a process exited. */
interface ProcessExit {
    readonly exitCode: number | null;
    readonly signal: NodeJS.Signals | null;
}

/**
 * A process of a deployment. Its output goes through pipes to a log file: Node.js writes to a file synchronously, so that
 * a process that had the file itself would stop while the disk is busy.
 */
export class ManagedProcess {
    readonly exited: Promise<ProcessExit>;
    private exit: ProcessExit | undefined;
    private isStopRequested = false;
    private isKillRequested = false;
    private exitReport: string | undefined;

    private constructor(
        readonly name: string,
        private readonly child: ChildProcess,
        private readonly logFile: string,
        log: WriteStream,
    ) {
        child.stdout?.pipe(log, { end: false });
        child.stderr?.pipe(log, { end: false });
        this.exited = new Promise(resolve => {
            child.once("close", (exitCode, signal) => {
                const exit = { exitCode, signal };
                this.exit = exit;
                log.end(() => {
                    this.exitReport = this.describeUnexpectedExit(exit);
                    resolve(exit);
                });
            });
        });
    }

    /** Starts a compiled program with a settings file. Its log is written to `dir`. */
    static create(name: string, program: string, settingsFile: string, dir: string): ManagedProcess {
        const logFile = join(dir, `${name}.log`);
        const counter = new URL("./count-bytes.js", import.meta.url).href;
        const args = [...NodeOptions, "--import", counter, program, "--config", settingsFile];
        const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe", "ipc"] });
        return new ManagedProcess(name, child, logFile, createWriteStream(logFile, { flags: "a" }));
    }

    /** Reads the resources that the process has used since it started. */
    readUsage(): Promise<ProcessUsage> {
        return readProcessUsage(this.child);
    }

    get isRunning(): boolean {
        return this.exit === undefined;
    }

    /**
     * Describes the exit, with the last lines of the log, if the process ended without a signal of `signal` or `stop`, or
     * did not stop with exit code 0; otherwise undefined.
     */
    get unexpectedExit(): string | undefined {
        return this.exitReport;
    }

    /** Sends a signal to this process if it is still running. After SIGKILL, its exit is expected. */
    signal(name: NodeJS.Signals): void {
        if (this.isRunning) {
            this.isKillRequested ||= name === "SIGKILL";
            this.child.kill(name);
        }
    }

    /** Sends SIGTERM, then SIGKILL if the process has not exited after `StopTimeoutMs`. Returns how it exited. */
    async stop(): Promise<ProcessExit> {
        this.isStopRequested = true;
        this.signal("SIGTERM");
        // Not by `signal`, so that the exit of a process that does not stop is reported.
        const timer = setTimeout(() => this.child.kill("SIGKILL"), StopTimeoutMs);
        const exit = await this.exited;
        clearTimeout(timer);
        return exit;
    }

    private describeUnexpectedExit({ exitCode, signal }: ProcessExit): string | undefined {
        if (this.isKillRequested || (this.isStopRequested && exitCode === 0)) {
            return undefined;
        }
        const event = this.isStopRequested ? "did not stop with exit code 0" : "ended by itself";
        const cause = signal === null ? `exit code ${exitCode}` : `signal ${signal}`;
        return [`${this.name} ${event} (${cause}); its last log lines:`, ...readLastLines(this.logFile)].join(
            "\n",
        );
    }
}
