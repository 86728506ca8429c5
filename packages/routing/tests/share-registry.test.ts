import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { ShareRegistry } from "../src/share-registry.js";

const cell = "near/0";

const share = (slots: number, epoch = 1, worker = "w0") => ({
    worker,
    serviceAddress: "127.0.0.1:1",
    slots,
    connections: slots * 8,
    epoch,
    expiresInMs: 6_000,
});

const setUp = (): { clock: ManualClock; registry: ShareRegistry; report: number } => {
    const clock = ManualClock.create();
    const registry = ShareRegistry.create(clock);
    return { clock, registry, report: registry.openStream(cell, 1).report };
};

const slotsOf = (registry: ShareRegistry): number[] => registry.allShares().map(each => each.slots);

// Guards against a delayed update being valid for longer than the owner assumes.
t.test("a share expires relative to the send time of the report that its update answers", t => {
    const { clock, registry, report } = setUp();
    clock.advance(5_000);
    t.ok(registry.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(3)] }));
    const [held] = registry.allShares();
    t.equal(held?.isUsable(clock.nowMs()), true);
    clock.advance(1_000);
    t.equal(held?.isUsable(clock.nowMs()), false);
    t.equal(held?.tryTakeSlot(clock.nowMs(), 8), false);
    t.strictSame(registry.openStream(cell, 2).claims, []);
    t.end();
});

// Guards against an earlier owner or an outdated update that restores a larger share.
t.test("outdated updates and updates for unknown reports are rejected", t => {
    const { registry, report } = setUp();
    t.ok(registry.apply({ cell, epoch: 2, sequence: 5, report, plannedSlots: 3, shares: [share(2, 2)] }));
    const refused: [string, number, number, number][] = [
        ["lower epoch", 1, 9, report],
        ["same sequence", 2, 5, report],
        ["lower sequence", 2, 4, report],
        ["unknown report", 3, 1, 99],
    ];
    for (const [label, epoch, sequence, answered] of refused) {
        t.notOk(
            registry.apply({ cell, epoch, sequence, report: answered, plannedSlots: 3, shares: [share(8)] }),
            label,
        );
        t.strictSame(slotsOf(registry), [2], label);
    }
    registry.openStream(cell, 3);
    t.notOk(
        registry.apply({ cell, epoch: 2, sequence: 6, report, plannedSlots: 3, shares: [share(8)] }),
        "after a stream to epoch 3 was opened",
    );
    t.ok(registry.apply({ cell, epoch: 3, sequence: 1, report, plannedSlots: 3, shares: [share(4, 3)] }));
    t.strictSame(slotsOf(registry), [4]);
    t.end();
});

// Guards against slots that the owner grants to others while this process still uses them.
t.test("a smaller share is confirmed only when the use is within it", t => {
    const { clock, registry, report } = setUp();
    registry.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(2)] });
    const [held] = registry.allShares();
    t.equal(registry.report(cell, 0).confirmedSequence, 1);
    held?.tryTakeSlot(clock.nowMs(), 8);
    held?.tryTakeSlot(clock.nowMs(), 8);
    registry.apply({ cell, epoch: 1, sequence: 2, report, plannedSlots: 3, shares: [share(1)] });
    t.equal(registry.report(cell, 0).confirmedSequence, 1);
    t.equal(held?.tryTakeSlot(clock.nowMs(), 8), false);
    held?.releaseSlot();
    t.equal(registry.report(cell, 0).confirmedSequence, 2);
    held?.tryOpenConnection(clock.nowMs());
    registry.apply({ cell, epoch: 1, sequence: 3, report, plannedSlots: 3, shares: [] });
    held?.releaseSlot();
    t.equal(registry.report(cell, 0).confirmedSequence, 2, "a connection is open");
    held?.closeConnection();
    t.equal(registry.report(cell, 0).confirmedSequence, 3);
    t.end();
});

// Guards against claims that state more than the remaining time.
t.test("claims contain the remaining time of the shares", t => {
    const { clock, registry, report } = setUp();
    registry.apply({
        cell,
        epoch: 1,
        sequence: 1,
        report,
        plannedSlots: 3,
        shares: [share(3), share(2, 1, "w1")],
    });
    clock.advance(2_000);
    const { claims } = registry.openStream(cell, 2);
    t.strictSame(
        claims.map(claim => [claim.worker, claim.slots, claim.epoch, claim.expiresInMs]),
        [
            ["w0", 3, 1, 4_000],
            ["w1", 2, 1, 4_000],
        ],
    );
    t.end();
});

// Guards against a process that uses a share after telling the owner that it has released all of them.
t.test("an update that arrives after the release is rejected", t => {
    const { registry, report } = setUp();
    t.ok(registry.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(3)] }));
    registry.release(cell);
    t.strictSame(slotsOf(registry), [0]);
    t.notOk(registry.apply({ cell, epoch: 1, sequence: 2, report, plannedSlots: 3, shares: [share(3)] }));
    t.notOk(registry.apply({ cell, epoch: 2, sequence: 1, report, plannedSlots: 3, shares: [share(3, 2)] }));
    t.strictSame(slotsOf(registry), [0]);
    t.end();
});
