import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CellLease } from "../src/cell-lease.js";
import { StoreFailure } from "../src/store-failure.js";
import { TakeoverCheckResult } from "../src/takeover-check-result.js";
import type { TakeoverChecker } from "../src/takeover-checker.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";

const StartMs = 1_000;
const StepMs = 10;
const RenewalMs = 300;

/** A lease whose renewals take some time, with the checks of the other processes under control of the test. */
class LeaseHarness {
    readonly clock = ManualClock.create(StartMs);
    readonly store = ManualStore.create();
    readonly lost: string[] = [];
    renewal: Result<void, StoreFailure> = Ok(undefined);
    check: TakeoverCheckResult = TakeoverCheckResult.Unknown;
    checks = 0;
    readonly abort = new AbortController();

    static create(): LeaseHarness {
        return new LeaseHarness();
    }

    async acquire(): Promise<CellLease> {
        this.store.renewLease = () =>
            new Promise(resolve => setTimeout(() => resolve(this.renewal), RenewalMs));
        const takeovers: Pick<TakeoverChecker, "check"> = {
            check: () => {
                this.checks++;
                return Promise.resolve(this.check);
            },
        };
        const acquired = CellLease.create(
            {
                store: this.store,
                clock: this.clock,
                log: NullLog.create(),
                cell: 0,
                node: "node",
                instanceId: "instance",
                address: "127.0.0.1:1",
                takeovers: takeovers as TakeoverChecker,
            },
            0,
        );
        while (this.store.transactions.length === 0) {
            await Promise.resolve();
        }
        await this.store.answerNext();
        const lease = (await acquired).unwrap();
        if (lease === undefined) {
            throw new Error("the lease was not acquired");
        }
        void lease.keepAlive(reason => this.lost.push(reason));
        return lease;
    }

    async pass(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += StepMs) {
            this.clock.advance(StepMs);
            mock.timers.tick(StepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

t.beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
t.afterEach(() => mock.timers.reset());

// Guards against a previous owner that cannot tell the jobs which were stored before a takeover from later ones.
t.test("a takeover writes its epoch among the cell's inputs", async t => {
    const harness = LeaseHarness.create();
    const lease = await harness.acquire();
    const writes = harness.store.transactions[0]?.writes;
    t.match(
        writes?.find(({ key }) => key === "cells/0/in/takeover"),
        { value: '{"epoch":1}' },
    );
    lease.stop();
});

// Guards against leases that are counted from the response to a renewal: the next owner may have taken over between the
// renewal and its response.
t.test("a renewal proves the ownership as of its request", async t => {
    const harness = LeaseHarness.create();
    const lease = await harness.acquire();
    t.equal(lease.proof.provenAtMs, StartMs);
    await harness.pass(500 + RenewalMs + 100);
    t.equal(lease.proof.provenAtMs, StartMs + 500);
    t.equal(harness.checks, 0, "the other processes are not asked");
    lease.stop();
});

// Guards against work that ends during an outage of the store, and against an owner that goes on beside the next one.
t.test("without the store the other processes decide whether an owner goes on", async t => {
    const harness = LeaseHarness.create();
    const lease = await harness.acquire();
    harness.renewal = Err(StoreFailure.Unknown);
    await harness.pass(3_000);
    t.equal(lease.proof.provenAtMs, StartMs, "nobody knows whether there is another owner");
    harness.check = TakeoverCheckResult.StillOwner;
    await harness.pass(1_000);
    t.ok(harness.clock.nowMs() - lease.proof.provenAtMs < 1_000, "the store is away for all");
    t.same(harness.lost, []);
    harness.check = TakeoverCheckResult.Superseded;
    await harness.pass(1_000);
    t.equal(harness.lost.length, 1);
    lease.stop();
});
