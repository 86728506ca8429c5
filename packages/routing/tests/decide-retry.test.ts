import * as fc from "fast-check";
import t from "tap";
import { AttemptOutcome } from "../src/attempt-outcome.js";
import { decideRetry } from "../src/decide-retry.js";

type Input = Parameters<typeof decideRetry>[0];

const booleans = [false, true];
const outcomes = Object.values(AttemptOutcome);

const allInputs: Input[] = booleans.flatMap(idempotent =>
    booleans.flatMap(mayHaveRun =>
        outcomes.flatMap(outcome =>
            [-1, 0, 0.5, 1000].flatMap(remainingMs =>
                booleans.flatMap(hasBudget =>
                    booleans.map(hasAttemptsLeft => ({
                        idempotent,
                        mayHaveRun,
                        outcome,
                        remainingMs,
                        hasBudget,
                        hasAttemptsLeft,
                    })),
                ),
            ),
        ),
    ),
);

// Guards against a second run of a non-idempotent request, a retry after the deadline, without budget or after part
// of the response was forwarded, and a "not run" code for a request that may have run, over all combinations.
t.test("decideRetry is safe for every combination of inputs", t => {
    t.equal(allInputs.length, 2 * 2 * 8 * 4 * 2 * 2);
    for (const input of allInputs) {
        const decision = decideRetry(input);
        const label = JSON.stringify(input);
        if (decision.retry) {
            const isAllowed = input.idempotent || !input.mayHaveRun;
            const hasMeans = input.remainingMs > 0 && input.hasBudget && input.hasAttemptsLeft;
            if (!isAllowed || !hasMeans || input.outcome === AttemptOutcome.TruncatedAfterForward) {
                t.fail(`retried: ${label}`);
            }
        } else if (Math.floor(decision.code / 1000) !== (input.mayHaveRun ? 3 : 2)) {
            t.fail(`${decision.code}: ${label}`);
        }
    }
    t.end();
});

// Guards against a decision that depends on anything but its input, or a retry that more time or budget prevents.
t.test("decideRetry is pure and monotonic", t => {
    const input = fc.record({
        idempotent: fc.boolean(),
        mayHaveRun: fc.boolean(),
        outcome: fc.constantFrom(...outcomes),
        remainingMs: fc.double({ min: -1000, max: 1000, noNaN: true }),
        hasBudget: fc.boolean(),
        hasAttemptsLeft: fc.boolean(),
    });
    const property = fc.property(input, fc.double({ min: 0, max: 500, noNaN: true }), (given, moreMs) => {
        const first = decideRetry(given);
        const better = decideRetry({ ...given, remainingMs: given.remainingMs + moreMs, hasBudget: true });
        return (
            JSON.stringify(decideRetry({ ...given })) === JSON.stringify(first) &&
            (!first.retry || better.retry)
        );
    });
    fc.assert(property, { seed: 20, numRuns: 2000 });
    t.end();
});

// Guards against result codes that report the wrong reason.
t.test("result codes of failures that are not retried", t => {
    const base: Input = {
        idempotent: false,
        mayHaveRun: false,
        outcome: AttemptOutcome.RefusedNotRun,
        remainingMs: 100,
        hasBudget: true,
        hasAttemptsLeft: false,
    };
    const table: [Partial<Input>, number][] = [
        [{}, 2013],
        [{ hasBudget: false, hasAttemptsLeft: true }, 2009],
        [{ remainingMs: 0 }, 2003],
        [{ outcome: AttemptOutcome.NotConnected }, 2005],
        [{ mayHaveRun: true, outcome: AttemptOutcome.DeadlinePassed }, 3000],
        [{ mayHaveRun: true, outcome: AttemptOutcome.ConnectionLost }, 3001],
        [{ mayHaveRun: true, outcome: AttemptOutcome.Truncated }, 3002],
        [{ mayHaveRun: true, outcome: AttemptOutcome.Malformed }, 3003],
        [{ mayHaveRun: true, outcome: AttemptOutcome.HeadersTooLarge }, 3004],
        [{ mayHaveRun: true, outcome: AttemptOutcome.NotConnected }, 3001],
    ];
    for (const [change, code] of table) {
        t.strictSame(decideRetry({ ...base, ...change }), { retry: false, code }, JSON.stringify(change));
    }
    t.end();
});
