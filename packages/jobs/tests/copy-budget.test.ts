import t from "tap";
import { CopyBudget } from "../src/copy-budget.js";

// Guards against copies that take a large part of a cell, and against a small cell in which none can ever start.
t.test("copies reserve a bounded share of a cell", t => {
    const cases = [
        { load: "the first copy in a small cell", reserved: 0, added: 1, ofCell: 12, isAllowed: true },
        { load: "a second one there", reserved: 1, added: 1, ofCell: 12, isAllowed: false },
        { load: "a copy within 5% of a large cell", reserved: 30, added: 4, ofCell: 6_000, isAllowed: true },
        { load: "a copy beyond it", reserved: 298, added: 4, ofCell: 6_000, isAllowed: false },
    ];
    for (const { load, reserved, added, ofCell, isAllowed } of cases) {
        t.equal(CopyBudget.allowsProcessors(reserved, added, ofCell), isAllowed, load);
    }
    t.end();
});

// Guards against copies that lose again and again, because tasks are long by themselves or all workers are slow.
t.test("wasted work is bounded as a share of the work done", t => {
    const budget = CopyBudget.create();
    t.ok(budget.allowsWaste(5_000, 0), "an owner without a history may start a copy");
    t.notOk(budget.allowsWaste(25_000, 0), "but not one that risks more than the allowance");
    budget.addWaste(18_000, 0);
    t.notOk(budget.allowsWaste(5_000, 0), "copies that lost use it up");
    budget.addWork(1_000_000, 0);
    t.ok(budget.allowsWaste(5_000, 0), "work that was done allows more");
    t.notOk(budget.allowsWaste(105_000, 0), "up to a tenth of it");
    t.notOk(budget.allowsWaste(60_000, 600_000), "work of long ago does not count");
    t.ok(budget.allowsWaste(19_000, 600_000), "nor does waste of long ago");
    t.end();
});
