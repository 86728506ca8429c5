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

const setUp = (): { clock: ManualClock; book: ShareRegistry; report: number } => {
    const clock = ManualClock.create();
    const book = ShareRegistry.create(clock);
    return { clock, book, report: book.openStream(cell, 1).report };
};

const slotsOf = (book: ShareRegistry): number[] => book.allShares().map(each => each.slots);

// Guards against a delayed update being valid for longer than the owner assumes.
t.test("a share expires by the time of the report it answers", t => {
    const { clock, book, report } = setUp();
    clock.advance(5_000);
    t.ok(book.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(3)] }));
    const [held] = book.allShares();
    t.equal(held?.isUsable(clock.nowMs()), true);
    clock.advance(1_000);
    t.equal(held?.isUsable(clock.nowMs()), false);
    t.equal(held?.tryTakeSlot(clock.nowMs(), 8), false);
    t.strictSame(book.openStream(cell, 2).claims, []);
    t.end();
});

// Guards against an old owner or an old update that brings back a larger share.
t.test("updates that are refused", t => {
    const { book, report } = setUp();
    t.ok(book.apply({ cell, epoch: 2, sequence: 5, report, plannedSlots: 3, shares: [share(2, 2)] }));
    const refused: [string, number, number, number][] = [
        ["lower epoch", 1, 9, report],
        ["same sequence", 2, 5, report],
        ["lower sequence", 2, 4, report],
        ["unknown report", 3, 1, 99],
    ];
    for (const [label, epoch, sequence, answered] of refused) {
        t.notOk(
            book.apply({ cell, epoch, sequence, report: answered, plannedSlots: 3, shares: [share(8)] }),
            label,
        );
        t.strictSame(slotsOf(book), [2], label);
    }
    book.openStream(cell, 3);
    t.notOk(
        book.apply({ cell, epoch: 2, sequence: 6, report, plannedSlots: 3, shares: [share(8)] }),
        "after hello to epoch 3",
    );
    t.ok(book.apply({ cell, epoch: 3, sequence: 1, report, plannedSlots: 3, shares: [share(4, 3)] }));
    t.strictSame(slotsOf(book), [4]);
    t.end();
});

// Guards against slots that the owner gives to others while this process still uses them.
t.test("a smaller share is confirmed only when the use fits it", t => {
    const { clock, book, report } = setUp();
    book.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(2)] });
    const [held] = book.allShares();
    t.equal(book.report(cell, 0).confirmedSequence, 1);
    held?.tryTakeSlot(clock.nowMs(), 8);
    held?.tryTakeSlot(clock.nowMs(), 8);
    book.apply({ cell, epoch: 1, sequence: 2, report, plannedSlots: 3, shares: [share(1)] });
    t.equal(book.report(cell, 0).confirmedSequence, 1);
    t.equal(held?.tryTakeSlot(clock.nowMs(), 8), false);
    held?.releaseSlot();
    t.equal(book.report(cell, 0).confirmedSequence, 2);
    held?.tryOpenConnection(clock.nowMs());
    book.apply({ cell, epoch: 1, sequence: 3, report, plannedSlots: 3, shares: [] });
    held?.releaseSlot();
    t.equal(book.report(cell, 0).confirmedSequence, 2, "a connection is open");
    held?.closeConnection();
    t.equal(book.report(cell, 0).confirmedSequence, 3);
    t.end();
});

// Guards against claims that promise more than is left.
t.test("claims carry what is left", t => {
    const { clock, book, report } = setUp();
    book.apply({
        cell,
        epoch: 1,
        sequence: 1,
        report,
        plannedSlots: 3,
        shares: [share(3), share(2, 1, "w1")],
    });
    clock.advance(2_000);
    const { claims } = book.openStream(cell, 2);
    t.strictSame(
        claims.map(claim => [claim.worker, claim.slots, claim.epoch, claim.expiresInMs]),
        [
            ["w0", 3, 1, 4_000],
            ["w1", 2, 1, 4_000],
        ],
    );
    t.end();
});

// Guards against a process that uses a share again after it told the owner that it has given all up.
t.test("an update that arrives after the release is refused", t => {
    const { book, report } = setUp();
    t.ok(book.apply({ cell, epoch: 1, sequence: 1, report, plannedSlots: 3, shares: [share(3)] }));
    book.release(cell);
    t.strictSame(slotsOf(book), [0]);
    t.notOk(book.apply({ cell, epoch: 1, sequence: 2, report, plannedSlots: 3, shares: [share(3)] }));
    t.notOk(book.apply({ cell, epoch: 2, sequence: 1, report, plannedSlots: 3, shares: [share(3, 2)] }));
    t.strictSame(slotsOf(book), [0]);
    t.end();
});
