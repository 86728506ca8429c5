import * as fc from "fast-check";
import t from "tap";
import { AttemptOutcome } from "../src/attempt-outcome.js";
import { decideRetry } from "../src/decide-retry.js";

type Input = Parameters<typeof decideRetry>[0];

const booleans = [false, true];
const states = Object.values(AttemptOutcome);

const allInputs: Input[] = booleans.flatMap(idempotent =>
    booleans.flatMap(bytesSent =>
        states.flatMap(answer =>
            [-1, 0, 0.5, 1000].flatMap(remainingMs =>
                booleans.flatMap(hasBudget =>
                    booleans.map(hasAttemptsLeft => ({
                        idempotent,
                        bytesSent,
                        answer,
                        remainingMs,
                        hasBudget,
                        hasAttemptsLeft,
                    })),
                ),
            ),
        ),
    ),
);

// Guards against a second run of a non-idempotent request, a retry after the deadline, without budget or after
// a part of the answer was passed on, and against "not run" without proof, over all combinations.
t.test("every combination keeps the promises", t => {
    t.equal(allInputs.length, 2 * 2 * 8 * 4 * 2 * 2);
    for (const input of allInputs) {
        const decision = decideRetry(input);
        const label = JSON.stringify(input);
        if (decision.retry) {
            const isAllowed = input.idempotent || !input.bytesSent;
            const hasMeans = input.remainingMs > 0 && input.hasBudget && input.hasAttemptsLeft;
            if (!isAllowed || !hasMeans || input.answer === AttemptOutcome.TruncatedAfterForward) {
                t.fail(`retried: ${label}`);
            }
        } else if (Math.floor(decision.code / 1000) !== (input.bytesSent ? 3 : 2)) {
            t.fail(`${decision.code}: ${label}`);
        }
    }
    t.end();
});

// Guards against a decision that depends on something but its input, or that more time or budget turns down.
t.test("pure and monotonic", t => {
    const input = fc.record({
        idempotent: fc.boolean(),
        bytesSent: fc.boolean(),
        answer: fc.constantFrom(...states),
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

// Guards against codes that name the wrong reason.
t.test("codes of failures that are not repeated", t => {
    const base: Input = {
        idempotent: false,
        bytesSent: false,
        answer: AttemptOutcome.RefusedNotRun,
        remainingMs: 100,
        hasBudget: true,
        hasAttemptsLeft: false,
    };
    const table: [Partial<Input>, number][] = [
        [{}, 2013],
        [{ hasBudget: false, hasAttemptsLeft: true }, 2009],
        [{ remainingMs: 0 }, 2003],
        [{ answer: AttemptOutcome.NotConnected }, 2005],
        [{ bytesSent: true, answer: AttemptOutcome.DeadlinePassed }, 3000],
        [{ bytesSent: true, answer: AttemptOutcome.ConnectionLost }, 3001],
        [{ bytesSent: true, answer: AttemptOutcome.Truncated }, 3002],
        [{ bytesSent: true, answer: AttemptOutcome.Malformed }, 3003],
        [{ bytesSent: true, answer: AttemptOutcome.HeadersTooLarge }, 3004],
        [{ bytesSent: true, answer: AttemptOutcome.NotConnected }, 3001],
    ];
    for (const [change, code] of table) {
        t.strictSame(decideRetry({ ...base, ...change }), { retry: false, code }, JSON.stringify(change));
    }
    t.end();
});
