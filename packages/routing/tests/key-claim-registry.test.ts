import { ManualClock } from "@samphireward/core/manual-clock";
import { rendezvousPick } from "@samphireward/core/rendezvous-pick";
import * as fc from "fast-check";
import t from "tap";
import { KeyClaimRegistry } from "../src/key-claim-registry.js";
import { KeyClaimResult } from "../src/key-claim-result.js";

const retentionMs = 1_000;
const memberListTtlMs = 300;
const marginMs = 50;

const createRegistry = (
    clock: ManualClock,
    self: string,
    maxKeys = 100,
    margin = marginMs,
): KeyClaimRegistry =>
    KeyClaimRegistry.create({
        clock,
        self,
        retentionMs,
        memberListTtlMs,
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

// Guards against a key that is granted twice, is granted by a process that cannot know earlier grants, or never
// expires.
t.test("one process grants, refuses, releases and expires claims", t => {
    const clock = ManualClock.create(10_000);
    const claims = createRegistry(clock, "a", 2);
    claims.observeMembers(["a"], clock.nowMs());
    t.equal(claims.claim("k", "1"), KeyClaimResult.NotReady, "just started");
    observeFor(claims, clock, ["a"], claims.minOwnershipMs);
    t.equal(claims.claim("k", "1"), KeyClaimResult.Granted);
    t.equal(claims.claim("k", "1"), KeyClaimResult.Granted, "the same claim again");
    t.equal(claims.claim("k", "2"), KeyClaimResult.AlreadyUsed);
    claims.release("k", "2");
    t.equal(claims.claim("k", "2"), KeyClaimResult.AlreadyUsed, "a release by another claim has no effect");
    claims.release("k", "1");
    t.equal(claims.claim("k", "2"), KeyClaimResult.Granted);
    claims.claim("l", "1");
    t.equal(claims.claim("m", "1"), KeyClaimResult.Full);
    clock.advance(memberListTtlMs);
    t.equal(claims.claim("n", "1"), KeyClaimResult.NotReady, "cut off from the store");
    observeFor(claims, clock, ["a"], retentionMs);
    t.equal(claims.claim("k", "3"), KeyClaimResult.NotReady, "after a gap in the membership history");
    observeFor(claims, clock, ["a"], claims.minOwnershipMs);
    t.equal(claims.claim("k", "3"), KeyClaimResult.Granted, "after the retention period");
    t.end();
});

const names = ["a", "b", "c"];
const keys = ["k0", "k1", "k2", "k3", "k4"];

interface Step {
    readonly kind: "read" | "claim" | "leave" | "join" | "restart" | "late-read";
    readonly pick: number;
}

/**
 * Simulates owners whose processes restart, leave, join, and lose the store, and counts grants. A grant is a
 * duplicate if any process has granted the same key within the retention period.
 */
const simulateOwners = (steps: readonly Step[], margin: number): { grants: number; duplicates: number } => {
    const clock = ManualClock.create(10_000);
    const members = new Set(names);
    const create = (name: string): KeyClaimRegistry => createRegistry(clock, name, 100, margin);
    const owners = new Map(names.map(name => [name, create(name)]));
    const grantedAtMs = new Map<string, number>();
    const lateReads: (() => void)[] = [];
    const count = { grants: 0, duplicates: 0 };
    const claim = (key: string, owner: KeyClaimRegistry | undefined): void => {
        if (owner?.claim(key, String(count.grants)) === KeyClaimResult.Granted) {
            count.grants += 1;
            count.duplicates += clock.nowMs() - (grantedAtMs.get(key) ?? -Infinity) < retentionMs ? 1 : 0;
            grantedAtMs.set(key, clock.nowMs());
        }
    };
    for (const { kind, pick } of steps) {
        const name = names[pick % names.length] as string;
        const owner = owners.get(name) as KeyClaimRegistry;
        const key = keys[pick % keys.length] as string;
        if (kind === "read") {
            clock.advance(60);
            // At most one process is cut off from the store.
            const reading = names.filter((_, index) => pick % 8 !== index);
            reading.forEach(each => owners.get(each)?.observeMembers([...members], clock.nowMs()));
        } else if (kind === "claim") {
            // Callers may choose the owner by the current or by an outdated member list.
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
            lateReads.push(() => owner.observeMembers(seen, sentAtMs));
            if (lateReads.length > 2) {
                lateReads.shift()?.();
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

// Guards against a duplicate grant while processes restart, join, leave, or process a read of the member list
// lateReads.
t.test("a key is granted at most once within the retention period", t => {
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
        return count.duplicates === 0;
    });
    fc.assert(property, { seed: 5, numRuns: 400 });
    t.ok(grants > 1_000, `${grants} grants`);
    const insufficientMargin = fc.property(
        steps,
        given => simulateOwners(given, -retentionMs).duplicates === 0,
    );
    t.ok(
        fc.check(insufficientMargin, { seed: 5, numRuns: 400 }).failed,
        "the property fails for an owner that waits too short a time",
    );
    t.end();
});
