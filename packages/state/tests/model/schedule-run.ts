import { ManualClock } from "@samphireward/core/manual-clock";
import type { KeyValueStore } from "../../src/key-value-store.js";
import type { LogRecord } from "../../src/log-record.js";
import { MemoryKeyValueStore } from "../../src/testing/memory-key-value-store.js";
import type { HistoryEvent } from "./history-event.js";
import { ModelProcess } from "./model-process.js";
import type { Operation } from "./operation.js";

/** Event-loop turns after which all calls that are not held have completed. */
const SettleTurns = 3;
const FinalTurns = 12;

const settle = async (): Promise<void> => {
    for (let turn = 0; turn < SettleTurns; turn += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Runs a schedule on a fresh store and returns its history. */
export class ScheduleRun {
    readonly history: HistoryEvent[] = [];
    private readonly clock = ManualClock.create();
    private readonly store = MemoryKeyValueStore.create(this.clock);
    private readonly processes: ModelProcess[];
    /** Killed runs; their requests may still reach the store. */
    private readonly killed: ModelProcess[] = [];
    private nextId = 1;

    private constructor(
        processes: number,
        private readonly breakStore: (store: KeyValueStore) => KeyValueStore,
    ) {
        this.processes = Array.from({ length: processes }, (_, index) => this.start(`p${index}`));
        this.store.table.onChange(entry => this.observe(entry?.key ?? "", entry?.value ?? ""));
    }

    static async run(
        processes: number,
        operations: readonly Operation[],
        breakStore: (store: KeyValueStore) => KeyValueStore = store => store,
    ): Promise<HistoryEvent[]> {
        const run = new ScheduleRun(processes, breakStore);
        for (const operation of operations) {
            await run.apply(operation);
            run.observeGrants();
        }
        await run.finish();
        return run.history;
    }

    private start(name: string): ModelProcess {
        const { clock, breakStore } = this;
        const connection = this.store.connect();
        const record = (event: HistoryEvent): void => void this.history.push(event);
        return ModelProcess.create({ name, clock, connection, breakStore, record });
    }

    private async apply(operation: Operation): Promise<void> {
        if (operation.op === "advance") {
            this.clock.advance(operation.ms);
            return;
        }
        if (operation.op === "deliver-late") {
            this.allProcesses().forEach(process => process.connection.deliverLate());
            return;
        }
        const process = this.processes[operation.process];
        if (process === undefined) {
            return;
        }
        switch (operation.op) {
            case "run":
                for (let turn = 0; turn < operation.turns; turn += 1) {
                    this.append(process, operation.appends);
                    process.iterate();
                    await settle();
                }
                return;
            case "pause":
                process.connection.holdAfter(operation.afterHoldPoints);
                return;
            case "resume":
                process.connection.release();
                return settle();
            case "fault":
                process.connection.failAfter(operation.after, operation.fault);
                return;
            case "cut":
                process.connection.isDown = true;
                return;
            case "heal":
                process.connection.clearFaults();
                return;
            case "kill":
                process.connection.hold();
                this.killed.push(process);
                this.processes[operation.process] = this.start(process.name);
                return;
        }
    }

    private append(process: ModelProcess, count: number): void {
        for (let appended = 0; appended < count; appended += 1) {
            // Every third append has a timeout, so that both kinds share commits.
            process.append(this.nextId, this.nextId % 3 === 0 ? 2000 : undefined);
            this.nextId += 1;
        }
    }

    /** Ends all faults, applies every delayed write, and opens the log once more in a new process. */
    private async finish(): Promise<void> {
        for (const process of this.allProcesses()) {
            process.connection.clearFaults();
            process.connection.release();
            process.connection.deliverLate();
        }
        await settle();
        for (const process of this.processes) {
            process.iterate();
            await settle();
        }
        this.clock.advance(10_000);
        const opened = this.history.length;
        const last = this.start("last");
        for (let turn = 0; turn < FinalTurns; turn += 1) {
            last.iterate();
            await settle();
            this.clock.advance(500);
        }
        // Deposed owners detect it now; the outcomes of their appends are part of the history.
        for (let turn = 0; turn < FinalTurns; turn += 1) {
            this.processes.forEach(process => process.iterate());
            await settle();
        }
        const final = this.history.slice(opened).findLast(event => event.type === "opened");
        this.history.push({ type: "final", ids: final?.ids });
    }

    private allProcesses(): ModelProcess[] {
        return [...this.processes, ...this.killed];
    }

    private observe(key: string, value: string): void {
        if (key.includes("/log/")) {
            const { position, epoch, writer } = JSON.parse(value) as LogRecord<number>;
            this.history.push({ type: "slot-written", position, epoch, writer });
        } else if (key.endsWith("/epoch")) {
            this.history.push({ type: "epoch-written", epoch: Number(value) });
        }
    }

    private observeGrants(): void {
        const processes = this.processes.filter(process => process.canGrant()).map(process => process.name);
        this.history.push({ type: "granting", processes });
    }
}
