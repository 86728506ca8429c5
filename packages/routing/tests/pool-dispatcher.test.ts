import { ManualClock } from "@samphireward/core/manual-clock";
import { SeededRandom } from "@samphireward/core/seeded-random";
import t from "tap";
import { PoolDispatcher } from "../src/pool-dispatcher.js";
import type { TargetState } from "../src/target-state.js";
import { WaitingRequest } from "../src/waiting-request.js";

/** A target with as many free slots as a test needs. */
const freeTarget = {
    load: 0,
    isSuspect: () => false,
    hasFreeSlot: () => true,
    tryTakeSlot: () => true,
    share: { isUsable: () => true, releaseSlot: () => undefined },
} as unknown as TargetState;

class TestRequest extends WaitingRequest {
    override readonly routeName = "r";
    override readonly customer = "c";
    override readonly deadlineAtMs = 10_000;
    override readonly receivedAtMs = 0;
    isDispatched = false;

    private constructor(private readonly fails: boolean) {
        super();
    }

    static create(fails: boolean): TestRequest {
        return new TestRequest(fails);
    }

    override dispatch(): void {
        if (this.fails) {
            throw new TypeError("unexpected");
        }
        this.isDispatched = true;
    }

    override expire(): void {
        t.fail("it is not late");
    }

    override rejectQueueFull(): void {
        t.fail("the queue is not full");
    }

    override rejectLinkLimited(): void {
        t.fail("no link is used");
    }
}

// Guards against a pool that never sends a queued request again, because one failed unexpectedly when it was sent.
t.test("an unexpected error of one request does not stop the pool", t => {
    let tiers: readonly (readonly TargetState[])[] = [];
    const dispatcher = PoolDispatcher.create({
        clock: ManualClock.create(),
        random: SeededRandom.create(1),
        retryShare: 0.1,
        findTiers: () => tiers,
        hasLinkCapacity: () => true,
    });
    const later = TestRequest.create(false);
    dispatcher.enqueue(TestRequest.create(true), 10);
    dispatcher.enqueue(later, 10);
    tiers = [[freeTarget]];
    t.throws(() => dispatcher.refresh(), TypeError);
    t.equal(later.isDispatched, false);
    dispatcher.dispatchQueued();
    t.equal(later.isDispatched, true);
    t.end();
});
