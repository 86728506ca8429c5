import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import t from "tap";
import { cellKeys } from "../src/cell-keys.js";
import { CommitLog } from "../src/commit-log.js";
import { EvacuationMonitor } from "../src/evacuation-monitor.js";
import { EvacuationSource } from "../src/evacuation-source.js";
import { Metrics } from "../src/metrics.js";
import { ManualStore } from "./manual-store.js";
import { RecordingLog } from "./recording-log.js";

/** Reports what the test sets. */
class ManualEvacuations extends EvacuationSource {
    set: (...dataCentres: string[]) => void = () => undefined;

    static create(): ManualEvacuations {
        return new ManualEvacuations();
    }

    override run(_signal: AbortSignal, onChange: (dataCentres: ReadonlySet<string>) => void): Promise<void> {
        this.set = (...dataCentres) => onChange(new Set(dataCentres));
        return new Promise(() => undefined);
    }
}

const setUp = (
    items: ManualStore["items"] = [],
): {
    readonly source: ManualEvacuations;
    readonly monitor: EvacuationMonitor;
    readonly scheduler: CellScheduler;
    readonly store: ManualStore;
    readonly metrics: Metrics;
    readonly log: RecordingLog;
    readonly signal: AbortSignal;
} => {
    const clock = ManualClock.create(1_000);
    const source = ManualEvacuations.create();
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    const store = ManualStore.create();
    store.items = items;
    const metrics = Metrics.create();
    const log = RecordingLog.create();
    const { signal } = new AbortController();
    const commits = CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, signal);
    const context = { cell: 0, source, scheduler, store, commits, clock, log, metrics };
    const monitor = EvacuationMonitor.create({
        ...context,
        onChange: () => undefined,
        onLost: () => undefined,
    });
    return { source, monitor, scheduler, store, metrics, log, signal };
};

const settled = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const storedStates = (store: ManualStore): (string | undefined)[] =>
    store.transactions.map(({ writes }) => writes.find(({ key }) => key === cellKeys.evacuations(0))?.value);

// Guards against a new owner that starts tasks in an evacuated data centre because it has not read the requests yet.
t.test("an owner waits until the requests have been read", async t => {
    const { source, monitor, scheduler, signal } = setUp();
    let isReady = false;
    const started = monitor.start(signal).then(() => (isReady = true));
    await settled();
    t.notOk(isReady);
    source.set("herning-a");
    await started;
    t.same([...scheduler.fleet.evacuatedDataCentres], ["herning-a"]);
});

// Guards against operators who take a data centre away although runs are left there, or wait for runs that have ended.
t.test("the states are stored when they change, and only then", async t => {
    const { source, monitor, store, log, metrics, signal } = setUp();
    const started = monitor.start(signal);
    source.set("herning-a");
    await started;
    monitor.report();
    await settled();
    await store.answerNext();
    monitor.report();
    await settled();
    source.set();
    monitor.report();
    await settled();
    await store.answerNext();
    t.same(storedStates(store), ['{"herning-a":"completed"}', "{}"]);
    t.same(
        log.lines.map(({ event }) => event),
        ["evacuation-started", "evacuation-progress", "evacuation-ended"],
    );
    t.notMatch(await metrics.text(), /evacuating_runs\{/);
});

// Guards against a state that stays in the store after its evacuation has ended while the cell changed its owner.
t.test("a state that a previous owner has stored is corrected", async t => {
    const key = cellKeys.evacuations(0);
    const { source, monitor, store, signal } = setUp([
        { key, value: '{"herning-a":"running"}', revision: 1 },
    ]);
    const started = monitor.start(signal);
    source.set();
    await started;
    monitor.report();
    await settled();
    t.same(storedStates(store), ["{}"]);
});

// Guards against store calls and lines on a deployment on which nothing has been evacuated.
t.test("without a request nothing is written", async t => {
    const { source, monitor, store, log, signal } = setUp();
    const started = monitor.start(signal);
    source.set();
    await started;
    monitor.report();
    await settled();
    t.same(store.transactions, []);
    t.same(log.lines, []);
});

// Guards against operators who see no evacuation in the store because the owner that reported it has stopped.
t.test("an owner that stops leaves the stored states as they are", async t => {
    const key = cellKeys.evacuations(0);
    const { source, monitor, store, signal } = setUp([
        { key, value: '{"herning-a":"running"}', revision: 1 },
    ]);
    const started = monitor.start(signal);
    source.set("herning-a");
    await started;
    monitor.report();
    monitor.close();
    await settled();
    monitor.report();
    await settled();
    t.same(store.transactions, []);
});

// Guards against a take-over that never ends because its owner was stopped before it began to read the requests.
t.test("an owner that has been stopped does not wait for the requests", async t => {
    const { monitor } = setUp();
    await monitor.start(AbortSignal.abort());
    t.pass("it has returned");
});
