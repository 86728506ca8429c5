import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { StoreFailure } from "../src/store-failure.js";
import { WorkerPoller } from "../src/worker-poller.js";
import { WorkerSource } from "../src/worker-source.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";

/** A source whose reads end when the test says so. */
class ManualSource extends WorkerSource {
    private readonly reads: ((result: Result<readonly WorkerEntry[], StoreFailure>) => void)[] = [];

    static create(): ManualSource {
        return new ManualSource();
    }

    override read(): Promise<Result<readonly WorkerEntry[], StoreFailure>> {
        return new Promise(resolve => this.reads.push(resolve));
    }

    /** Ends the oldest open read. */
    answer(result: Result<readonly WorkerEntry[], StoreFailure>): void {
        this.reads.shift()?.(result);
    }
}

const createPoller = (source: ManualSource): WorkerPoller =>
    WorkerPoller.create(
        source,
        { onRegistered: () => undefined, onRemoved: () => undefined },
        () => false,
        NullLog.create(),
    );

// Guards against tasks that are sent to workers which have left: a process that takes a cell over again while the store does
// not answer took the registrations that it had read when it owned a cell before.
t.test("registrations of an earlier time are not current", async t => {
    const source = ManualSource.create();
    const poller = createPoller(source);
    const first = poller.readCurrent();
    source.answer(Ok([oneWorker]));
    t.same(await first, [oneWorker]);
    const second = poller.readCurrent();
    source.answer(Err(StoreFailure.Unknown));
    t.same(await second, [], "the store did not answer");
});

// Guards against the same when two reads overlap, of which the earlier one is answered first and not applied.
t.test("a read that a later one has overtaken reports no registrations of before", async t => {
    const source = ManualSource.create();
    const poller = createPoller(source);
    const initial = poller.readCurrent();
    source.answer(Ok([oneWorker]));
    await initial;
    const earlier = poller.readCurrent();
    const later = poller.readCurrent();
    source.answer(Ok([]));
    t.same(await earlier, []);
    source.answer(Ok([{ ...oneWorker, id: "w2" }]));
    t.same(
        (await later).map(({ id }) => id),
        ["w2"],
    );
});
