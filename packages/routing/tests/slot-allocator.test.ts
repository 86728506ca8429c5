import { ManualClock } from "@samphireward/core/manual-clock";
import * as fc from "fast-check";
import t from "tap";
import { SlotAllocator } from "../src/slot-allocator.js";
import { allocatorLimits } from "./allocator-limits.js";
import { AllocatorModel } from "./allocator-model.js";

const { ttlMs, marginMs, slotsPerWorker } = allocatorLimits;

type Options = Parameters<typeof SlotAllocator.create>[0];
type Steps = Parameters<AllocatorModel["run"]>[0];

const kinds = [
    "advance",
    "report",
    "deliver",
    "lose",
    "takeover",
    "attach",
    "use",
    "leave",
    "restart",
    "stop",
] as const;
const weights: Record<(typeof kinds)[number], number> = {
    advance: 6,
    report: 8,
    deliver: 16,
    lose: 1,
    takeover: 1,
    attach: 2,
    use: 4,
    leave: 1,
    restart: 1,
    stop: 1,
};

const step = fc.record({
    kind: fc.oneof(...kinds.map(kind => ({ weight: weights[kind], arbitrary: fc.constant(kind) }))),
    pick: fc.nat(50),
    amount: fc.nat(60),
});

let maxSlots = 0;

/** Returns the first run in which more was granted than a worker has, or `undefined`. */
const findExcess = (create: (options: Options) => SlotAllocator, numRuns: number): Steps | undefined => {
    const property = fc.property(fc.array(step, { minLength: 60, maxLength: 160 }), steps => {
        const model = new AllocatorModel(create, 4, 2);
        model.run(steps);
        maxSlots = Math.max(maxSlots, model.maxSlots);
        return model.maxSlots <= slotsPerWorker && model.maxConnections <= 64;
    });
    const result = fc.check(property, { seed: 41, numRuns, endOnFailure: true });
    return result.counterexample?.[0];
};

/** Assumes that an entry process applies a smaller grant immediately. */
class ForgetsOldGrants extends SlotAllocator {
    static override create(options: Options): SlotAllocator {
        return new ForgetsOldGrants(options);
    }

    override update(entry: string): ReturnType<SlotAllocator["update"]> {
        const update = super.update(entry);
        const report = { report: 0, epoch: this.options.epoch, demand: 0 };
        super.report(entry, { ...report, confirmedSequence: update?.sequence ?? 0 });
        return update;
    }
}

/** Grants unclaimed slots immediately after a takeover. */
class DoesNotWait extends SlotAllocator {
    static override create(options: Options): SlotAllocator {
        return new DoesNotWait(options);
    }

    protected override isAwaitingClaims(): boolean {
        return false;
    }
}

/** Ignores the grants of other entry processes. */
class IgnoresOthers extends SlotAllocator {
    static override create(options: Options): SlotAllocator {
        return new IgnoresOthers(options);
    }

    protected override availableFor(
        worker: Parameters<SlotAllocator["availableFor"]>[0],
    ): ReturnType<SlotAllocator["availableFor"]> {
        return { slots: worker.slots, connections: worker.connections };
    }
}

// Guards against two entry processes using the same slot after a takeover, a pause or a lost update.
t.test("the sum of unexpired shares never exceeds the limits of the worker", t => {
    t.equal(
        findExcess(options => SlotAllocator.create(options), 1500),
        undefined,
    );
    t.end();
});

const brokenAllocators = [ForgetsOldGrants, DoesNotWait, IgnoresOthers];
for (const allocator of brokenAllocators) {
    // Guards against a check that does not detect a broken allocator.
    t.test(`the check detects an allocator that ${allocator.name}`, t => {
        t.ok(findExcess(options => allocator.create(options), 1500) !== undefined);
        t.end();
    });
}

const setUp = (isTakeover: boolean): { clock: ManualClock; allocator: SlotAllocator } => {
    const clock = ManualClock.create();
    const options = { clock, cell: "near/0", epoch: 2, ttlMs, marginMs, isTakeover, mayGrant: () => true };
    const allocator = SlotAllocator.create(options);
    const worker = { serviceAddress: "127.0.0.1:1", slots: 8, connections: 64, leaving: false };
    allocator.setWorkers(["w0", "w1"].map(name => ({ worker: name, ...worker })));
    return { clock, allocator };
};

const slotsOf = (allocator: SlotAllocator, entry: string): number =>
    allocator.update(entry)?.shares.reduce((sum, share) => sum + share.slots, 0) ?? 0;

// Guards against slots that stay with an idle entry process while another one has queued requests.
t.test("slots follow demand once a reduced share is confirmed", t => {
    const { allocator } = setUp(false);
    for (const entry of ["a", "b"]) {
        allocator.attach({ entry, report: 1, claims: [] });
    }
    t.equal(slotsOf(allocator, "a"), 8);
    t.equal(slotsOf(allocator, "b"), 8);
    const report = { report: 2, epoch: 2, confirmedSequence: 0 };
    allocator.report("a", { ...report, demand: 0 });
    allocator.report("b", { ...report, demand: 20 });
    const shrunk = allocator.update("a");
    t.ok((shrunk?.shares.reduce((sum, share) => sum + share.slots, 0) ?? 0) <= 2);
    t.equal(slotsOf(allocator, "b"), 8, "not before the confirmation");
    allocator.report("a", { ...report, demand: 0, confirmedSequence: shrunk?.sequence ?? 0 });
    t.ok(slotsOf(allocator, "b") >= 14);
    t.end();
});

// Guards against claims that are reduced, and against unclaimed slots granted while they may be in use.
t.test("claims are adopted unchanged and unclaimed slots are granted after the waiting time", t => {
    const { clock, allocator } = setUp(true);
    const claim = { worker: "w0", serviceAddress: "127.0.0.1:1", slots: 5, connections: 40, epoch: 1 };
    allocator.attach({ entry: "a", report: 1, claims: [{ ...claim, expiresInMs: 3_000 }] });
    allocator.attach({ entry: "b", report: 1, claims: [] });
    const adopted = allocator.update("a")?.shares ?? [];
    t.strictSame(
        adopted.map(share => [share.worker, share.slots, share.connections]),
        [["w0", 5, 40]],
    );
    t.equal(slotsOf(allocator, "b"), 0);
    clock.advance(ttlMs + marginMs - 1);
    t.equal(slotsOf(allocator, "b"), 0);
    clock.advance(1);
    t.equal(slotsOf(allocator, "b"), 8);
    t.end();
});

// Guards against grants for a worker that is leaving or no longer listed.
t.test("shares of leaving workers are withdrawn", t => {
    const { allocator } = setUp(false);
    allocator.attach({ entry: "a", report: 1, claims: [] });
    t.equal(slotsOf(allocator, "a"), 16);
    const worker = { serviceAddress: "127.0.0.1:1", slots: 8, connections: 64 };
    allocator.setWorkers([{ worker: "w0", ...worker, leaving: true }]);
    t.strictSame(allocator.update("a")?.shares, []);
    t.end();
});

// Guards against a restarted entry process that gets no slots until the shares of its predecessor have expired.
t.test("released shares are granted immediately, those of a lost process after their expiry", t => {
    const { clock, allocator } = setUp(false);
    allocator.attach({ entry: "a@1", report: 1, claims: [] });
    t.equal(slotsOf(allocator, "a@1"), 16);
    allocator.release("a@1");
    t.equal(allocator.update("a@1"), undefined, "nothing more is granted to it");
    allocator.attach({ entry: "a@2", report: 1, claims: [] });
    t.equal(slotsOf(allocator, "a@2"), 16);
    allocator.detach("a@2");
    allocator.attach({ entry: "a@3", report: 1, claims: [] });
    const update = allocator.update("a@3");
    t.strictSame([update?.shares, update?.plannedSlots], [[], 16]);
    clock.advance(ttlMs + marginMs);
    t.equal(slotsOf(allocator, "a@3"), 16);
    t.end();
});
