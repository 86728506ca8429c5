import t from "tap";
import type { EpochReport } from "../src/epoch-report.js";
import { judgeEpochReports } from "../src/judge-epoch-reports.js";
import { TakeoverCheckResult } from "../src/takeover-check-result.js";

const epoch = 5;
const same: EpochReport = { epoch, isCurrent: true };
const newer: EpochReport = { epoch: 6, isCurrent: false };
const cutOff: EpochReport = { epoch, isCurrent: false };
const unaware: EpochReport = { epoch: undefined, isCurrent: false };
const { StillOwner, Superseded, Unknown } = TakeoverCheckResult;

// Guards against a previous owner that extends leases beside the next one, and against running work that ends because the
// store is away for all processes.
t.test("an owner without the store goes on only if no other process can have taken over", t => {
    const table: [string, readonly EpochReport[], number, TakeoverCheckResult][] = [
        ["the only process", [], 0, StillOwner],
        ["a process that reads the store", [same], 5, StillOwner],
        ["a process that knows a newer owner, beside one that does not", [cutOff, newer], 2, Superseded],
        ["a newer owner that was read from the store", [{ epoch: 6, isCurrent: true }], 5, Superseded],
        ["the store is away for all", [cutOff, cutOff, unaware, cutOff, cutOff], 5, StillOwner],
        ["the store is away, and two of six processes are down", [cutOff, cutOff, cutOff], 5, StillOwner],
        ["half of the processes answer nothing", [cutOff, cutOff], 5, Unknown],
        ["one data centre of three is cut off", [cutOff], 5, Unknown],
        ["no process answers", [], 5, Unknown],
    ];
    for (const [name, reports, processCount, result] of table) {
        t.equal(judgeEpochReports({ epoch, reports, processCount }), result, name);
    }
    t.end();
});
