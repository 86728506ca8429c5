import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { SystemClock } from "@samphireward/core/system-clock";
import { CellKeys } from "@samphireward/state/cell-keys";
import { GroupCommitLog } from "@samphireward/state/group-commit-log";
import { HttpKeyValueStore } from "@samphireward/state/http-key-value-store";
import { LogLimits } from "@samphireward/state/log-limits";
import { LogStateMachine } from "@samphireward/state/log-state-machine";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";

/** Rates of one cell; a cell of the target scale has about 100 transitions per second. */
const TransitionsPerSecond = [1, 10, 100, 500, 2000];
/** Tasks in a cell at the target scale; each is one item of a snapshot. */
const TasksPerCell = 1500;
const AppendIntervalMs = 10;
const StorePollIntervalMs = 20;
const StoreTimeoutMs = 2_000;
const clock = SystemClock.create();

type Row = readonly [kind: string, key: string, worker: string, attempt: number];

const rowOf = (index: number): Row => [
    "s",
    `plan-${String(index % TasksPerCell).padStart(8, "0")}`,
    `w-${index % 100}`,
    1,
];

/** State machine that keeps the last row of each task, as a cell's owner does. */
class TaskRows extends LogStateMachine<Row, Row> {
    private readonly rows = new Map<string, Row>();

    private constructor() {
        super();
    }

    static create(): TaskRows {
        return new TaskRows();
    }

    override apply(row: Row): void {
        this.rows.set(row[1], row);
    }

    override snapshot(): readonly Row[] {
        return [...this.rows.values()];
    }

    override restore(rows: readonly Row[]): void {
        this.rows.clear();
        rows.forEach(row => this.apply(row));
    }
}

const startStore = async (): Promise<{ store: HttpKeyValueStore; stop: () => Promise<void> }> => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const address = `127.0.0.1:${(probe.address() as AddressInfo).port}`;
    probe.close();
    const directory = mkdtempSync(join(tmpdir(), "state-cost-"));
    const config = join(directory, "store.toml");
    writeFileSync(config, `listen = "${address}"\n`);
    const entryFile = join(process.cwd(), "packages", "standins", "dist", "src", "store", "main.js");
    const child: ChildProcess = spawn(process.execPath, [entryFile, "--config", config], { stdio: "ignore" });
    const store = HttpKeyValueStore.create({ address, timeoutMs: StoreTimeoutMs, clock });
    while ((await store.get("probe")).isErr()) {
        await sleep(StorePollIntervalMs);
    }
    const stop = async (): Promise<void> => {
        store.close();
        child.kill("SIGTERM");
        await once(child, "exit");
        rmSync(directory, { recursive: true });
    };
    return { store, stop };
};

const openLog = async (store: HttpKeyValueStore, cell: string, epoch: number, commitIntervalMs = 100) => {
    const options = { commitIntervalMs, store, clock, cell, owner: "bench", epoch, state: TaskRows.create() };
    return (await GroupCommitLog.open<Row, Row>(options)).unwrap();
};

const print = (line: object): void => void process.stdout.write(`${JSON.stringify(line)}\n`);
const round = (value: number): number => Math.round(value * 100) / 100;

/** Appends at a steady rate for some seconds, and prints the log's cost at the store. */
const measureRate = async (
    store: HttpKeyValueStore,
    rate: number,
    seconds: number,
    commitIntervalMs: number,
): Promise<void> => {
    const log = await openLog(store, `rate/${rate}`, 1, commitIntervalMs);
    const fiber = Effect.runFork(log.run());
    const pending: Promise<unknown>[] = [];
    const waitsMs: number[] = [];
    const startMs = clock.nowMs();
    for (let appended = 0; appended < rate * seconds; await sleep(AppendIntervalMs)) {
        const due = Math.min(rate * seconds, (rate * (clock.nowMs() - startMs)) / 1000);
        for (; appended < due; appended += 1) {
            const queuedMs = clock.nowMs();
            const append = log.append([rowOf(appended)]);
            pending.push(append.then(() => waitsMs.push(clock.nowMs() - queuedMs)));
        }
    }
    await Promise.all(pending);
    await Effect.runPromise(Fiber.interrupt(fiber));
    const count = log.counters.get("log.transitions");
    const writes = log.counters.get("log.writes") + log.counters.get("snapshot.writes");
    const reads = log.counters.get("log.reads") + log.counters.get("snapshot.reads");
    const wallMs = clock.nowMs() - startMs;
    waitsMs.sort((a, b) => a - b);
    print({
        measure: "rate",
        commitIntervalMs,
        transitionsPerSecond: rate,
        transitions: count,
        writesPerThousand: round((writes * 1000) / count),
        readsPerThousand: round((reads * 1000) / count),
        writesPerSecond: round((writes * 1000) / wallMs),
        logBytesPerTransition: round(log.counters.get("log.bytes") / count),
        snapshotBytesPerTransition: round(log.counters.get("snapshot.bytes") / count),
        snapshots: log.counters.get("snapshot.written"),
        appendMs: { p50: round(waitsMs[waitsMs.length >> 1] ?? 0), max: round(waitsMs.at(-1) ?? 0) },
    });
};

/** Fills all log slots without a snapshot, the longest replay that a new owner can face, and measures the takeover. */
const measureReplay = async (store: HttpKeyValueStore, perRecord: number): Promise<void> => {
    const cell = `replay/${perRecord}`;
    const keys = CellKeys.create(cell);
    let bytes = 0;
    for (let position = 1; position <= LogLimits.ringSlots; position += 1) {
        const transitions = Array.from({ length: perRecord }, (_, index) =>
            rowOf(position * perRecord + index),
        );
        const value = JSON.stringify({ epoch: 1, position, writer: "bench#1#1", transitions });
        bytes += value.length;
        (await store.put(keys.slot(position % LogLimits.ringSlots), value, 0)).unwrap();
    }
    const startMs = clock.nowMs();
    const log = await openLog(store, cell, 2);
    const openMs = clock.nowMs() - startMs;
    const readsStartMs = clock.nowMs();
    for (let slot = 0; slot < LogLimits.ringSlots; slot += 16) {
        await Promise.all(Array.from({ length: 16 }, (_, offset) => store.get(keys.slot(slot + offset))));
    }
    print({
        measure: "replay",
        records: LogLimits.ringSlots,
        transitions: LogLimits.ringSlots * perRecord,
        ringBytes: bytes,
        openMs: round(openMs),
        reads: log.counters.get("log.reads") + log.counters.get("snapshot.reads"),
        writes: log.counters.get("log.writes") + log.counters.get("snapshot.writes"),
        singleReadsMs: round(clock.nowMs() - readsStartMs),
    });
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            seconds: { type: "string", default: "20" },
            interval: { type: "string", default: "100" },
        },
    });
    const { store, stop } = await startStore();
    for (const rate of TransitionsPerSecond) {
        await measureRate(store, rate, Number(values.seconds), Number(values.interval));
    }
    for (const perRecord of [1, 10, 100]) {
        await measureReplay(store, perRecord);
    }
    await stop();
};

await main();
