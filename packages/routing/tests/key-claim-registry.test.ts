import { ManualClock } from "@samphireward/core/manual-clock";
import { rendezvousPick } from "@samphireward/core/rendezvous-pick";
import * as fc from "fast-check";
import t from "tap";
import { KeyClaimRegistry } from "../src/key-claim-registry.js";
import { KeyClaimResult } from "../src/key-claim-result.js";

const rememberMs = 1_000;
const viewTtlMs = 300;
const marginMs = 50;

const createClaims = (clock: ManualClock, self: string, maxKeys = 100, margin = marginMs): KeyClaimRegistry =>
    KeyClaimRegistry.create({
        clock,
        self,
        retentionMs: rememberMs,
        memberListTtlMs: viewTtlMs,
        marginMs: margin,
        maxKeys,
    });

const observeFor = (
    claims: KeyClaimRegistry,
    clock: ManualClock,
    members: string[],
    durationMs: number,
): void => {
    for (let passed = 0; passed < durationMs; passed += 100) {
        claims.observeMembers(members, clock.nowMs());
        clock.advance(100);
    }
    claims.observeMembers(members, clock.nowMs());
};

// Guards against a key that is granted twice, by a process that cannot know the earlier grants, or for ever.
t.test("one process", t => {
    const clock = ManualClock.create(10_000);
    const claims = createClaims(clock, "a", 2);
    claims.observeMembers(["a"], clock.nowMs());
    t.equal(claims.claim("k", "1"), KeyClaimResult.NotReady, "just started");
    observeFor(claims, clock, ["a"], claims.minOwnershipMs);
    t.equal(claims.claim("k", "1"), KeyClaimResult.Granted);
    t.equal(claims.claim("k", "1"), KeyClaimResult.Granted, "the same claim again");
    t.equal(claims.claim("k", "2"), KeyClaimResult.AlreadyUsed);
    claims.release("k", "2");
    t.equal(claims.claim("k", "2"), KeyClaimResult.AlreadyUsed, "released by another claim");
    claims.release("k", "1");
    t.equal(claims.claim("k", "2"), KeyClaimResult.Granted);
    claims.claim("l", "1");
    t.equal(claims.claim("m", "1"), KeyClaimResult.Full);
    clock.advance(viewTtlMs);
    t.equal(claims.claim("n", "1"), KeyClaimResult.NotReady, "cut off from the store");
    observeFor(claims, clock, ["a"], rememberMs);
    t.equal(claims.claim("k", "3"), KeyClaimResult.NotReady, "after a gap");
    observeFor(claims, clock, ["a"], claims.minOwnershipMs);
    t.equal(claims.claim("k", "3"), KeyClaimResult.Granted, "forgotten");
    t.end();
});

const names = ["a", "b", "c"];
const keys = ["k0", "k1", "k2", "k3", "k4"];

interface Step {
    readonly kind: "read" | "claim" | "leave" | "join" | "restart" | "late-read";
    readonly pick: number;
}

/**
 * Runs owners whose processes restart, leave, join, and lose the store, and counts grants. A grant counts as
 * double when the key was granted within the remembered time, by whichever process.
 */
const simulateOwners = (steps: readonly Step[], margin: number): { grants: number; doubles: number } => {
    const clock = ManualClock.create(10_000);
    const members = new Set(names);
    const create = (name: string): KeyClaimRegistry => createClaims(clock, name, 100, margin);
    const owners = new Map(names.map(name => [name, create(name)]));
    const grantedAtMs = new Map<string, number>();
    const late: (() => void)[] = [];
    const count = { grants: 0, doubles: 0 };
    const claim = (key: string, owner: KeyClaimRegistry | undefined): void => {
        if (owner?.claim(key, String(count.grants)) === KeyClaimResult.Granted) {
            count.grants += 1;
            count.doubles += clock.nowMs() - (grantedAtMs.get(key) ?? -Infinity) < rememberMs ? 1 : 0;
            grantedAtMs.set(key, clock.nowMs());
        }
    };
    for (const { kind, pick } of steps) {
        const name = names[pick % names.length] as string;
        const owner = owners.get(name) as KeyClaimRegistry;
        const key = keys[pick % keys.length] as string;
        if (kind === "read") {
            clock.advance(60);
            // One process may be cut off from the store.
            const reading = names.filter((_, index) => pick % 8 !== index);
            reading.forEach(each => owners.get(each)?.observeMembers([...members], clock.nowMs()));
        } else if (kind === "claim") {
            // Callers choose the owner by any view they may have.
            claim(key, owners.get(rendezvousPick(key, [...members]) ?? name));
            claim(key, owner);
        } else if (kind === "leave") {
            members.delete(name);
        } else if (kind === "join") {
            members.add(name);
        } else if (kind === "restart") {
            owners.set(name, create(name));
        } else {
            const seen = [...members];
            const sentAtMs = clock.nowMs();
            late.push(() => owner.observeMembers(seen, sentAtMs));
            if (late.length > 2) {
                late.shift()?.();
            }
        }
    }
    return count;
};

const weighted = (
    kind: Step["kind"],
    weight: number,
): { weight: number; arbitrary: fc.Arbitrary<Step["kind"]> } => ({
    weight,
    arbitrary: fc.constant(kind),
});

// Guards against a second grant while processes restart, join, leave, or read the member list late.
t.test("a key is granted at most once in the remembered time", t => {
    const kind = fc.oneof(
        weighted("read", 60),
        weighted("claim", 30),
        weighted("leave", 1),
        weighted("join", 2),
        weighted("restart", 1),
        weighted("late-read", 2),
    );
    const steps = fc.array(fc.record({ kind, pick: fc.nat(60) }), { minLength: 200, maxLength: 400 });
    let grants = 0;
    const property = fc.property(steps, given => {
        const count = simulateOwners(given, marginMs);
        grants += count.grants;
        return count.doubles === 0;
    });
    fc.assert(property, { seed: 5, numRuns: 400 });
    t.ok(grants > 1_000, `${grants} grants`);
    const insufficientMargin = fc.property(steps, given => simulateOwners(given, -rememberMs).doubles === 0);
    t.ok(
        fc.check(insufficientMargin, { seed: 5, numRuns: 400 }).failed,
        "the check notices an owner that waits too little",
    );
    t.end();
});
