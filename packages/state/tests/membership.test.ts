import { ManualClock } from "@samphireward/core/manual-clock";
import { SeededRandom } from "@samphireward/core/seeded-random";
import * as fc from "fast-check";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import type { ExchangeMessage } from "../src/exchange-message.js";
import { MemberRegistration } from "../src/member-registration.js";
import { MemberState } from "../src/member-state.js";
import { Membership } from "../src/membership.js";
import { PeerExchange } from "../src/peer-exchange.js";
import { ProcessLease } from "../src/process-lease.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

t.setTimeout(0);

/** Writes of the registration that fail while a process is watched, once a second. */
const FailedWrites = 20;

/** Network of processes whose links can be blocked in one direction. */
class Network extends PeerExchange {
    readonly clock = ManualClock.create();
    readonly running = new Map<string, Membership>();
    readonly blockedLinks = new Set<string>();
    readonly paused = new Set<Membership>();
    maxMessageMembers = 0;
    private startCount = 0;

    start(name: string, seeds: readonly string[]): Membership {
        this.startCount += 1;
        const membership = Membership.create({
            self: {
                name,
                role: "scheduler",
                region: "north",
                dataCentre: "a",
                address: `${name}:${this.startCount}`,
                incarnation: this.startCount,
            },
            seeds,
            clock: this.clock,
            random: SeededRandom.create(this.startCount),
            exchange: this,
            delegate: {
                configRevision: () => 0,
                configNewerThan: () => undefined,
                onConfig: () => undefined,
                leavingTargets: () => [],
                onLeavingTargets: () => undefined,
                onContact: () => undefined,
            },
        });
        this.running.set(membership.self.address, membership);
        return membership;
    }

    override exchange(address: string, message: ExchangeMessage): Promise<Result<ExchangeMessage, string>> {
        const target = this.running.get(address);
        const from = message.self.name;
        if (
            target === undefined ||
            this.paused.has(target) ||
            this.blockedLinks.has(`${from}>${target.self.name}`)
        ) {
            return Promise.resolve(Err("no response"));
        }
        const response = target.handle(message);
        this.maxMessageMembers = Math.max(
            this.maxMessageMembers,
            message.members.length,
            response.members.length,
        );
        const isLost = this.blockedLinks.has(`${target.self.name}>${from}`);
        return Promise.resolve(isLost ? Err("response lost") : Ok(response));
    }

    async rounds(count: number): Promise<void> {
        for (let round = 0; round < count; round += 1) {
            this.clock.advance(1000);
            for (const membership of this.running.values()) {
                if (!this.paused.has(membership)) {
                    await membership.round();
                }
            }
        }
    }
}

const stateOf = (membership: Membership, name: string): string | undefined =>
    membership.members.find(view => view.name === name)?.state;

const names = ["p0", "p1", "p2", "p3", "p4"];
const operations = fc.record({
    kind: fc.constantFrom("cut", "cut", "heal", "pause", "resume", "restart", "rounds", "rounds"),
    from: fc.constantFrom(...names),
    to: fc.constantFrom(...names),
    count: fc.integer({ min: 1, max: 15 }),
});

// Guards against a table that keeps a replaced process, or does not find a process again after a partition.
t.test("tables agree after partitions, pauses and restarts, seed 41", async t => {
    const property = fc.asyncProperty(fc.array(operations, { maxLength: 20 }), async list => {
        const network = new Network();
        const seeds = ["p0:1", "p1:2"];
        const current = new Map(names.map(name => [name, network.start(name, seeds)]));
        for (const { kind, from, to, count } of list) {
            const process = current.get(from) ?? network.start(from, seeds);
            if (kind === "cut") {
                network.blockedLinks.add(`${from}>${to}`);
            } else if (kind === "heal") {
                network.blockedLinks.clear();
            } else if (kind === "pause") {
                network.paused.add(process);
            } else if (kind === "resume") {
                network.paused.delete(process);
            } else if (kind === "restart" && from !== "p0") {
                // A paused run stays in the network and learns of its successor when it resumes.
                if (!network.paused.has(process)) {
                    network.running.delete(process.self.address);
                }
                current.set(from, network.start(from, seeds));
            } else if (kind === "rounds") {
                await network.rounds(count);
            }
        }
        network.blockedLinks.clear();
        network.paused.clear();
        await network.rounds(40);
        const problems = [...current.values()].flatMap(viewer =>
            [...current.values()]
                .filter(other => {
                    const view = viewer.members.find(found => found.name === other.self.name);
                    return view?.state !== MemberState.Alive || view.address !== other.self.address;
                })
                .map(other => `${viewer.self.name} does not see ${other.self.name}`),
        );
        const currentProcesses = [...current.values()];
        const replaced = [...network.running.values()].filter(process => !currentProcesses.includes(process));
        problems.push(...replaced.filter(old => old.replacedBy === undefined).map(old => old.self.address));
        return problems.length === 0 ? true : Promise.reject(new Error(problems.join("; ")));
    });
    const details = await fc.check(property, { seed: 41, numRuns: 200 });
    t.notOk(details.failed, fc.defaultReportMessage(details) ?? "");
});

// Guards against wrong ages, a gone process that a delayed message adds again, and messages without a size limit.
t.test("tracks liveness with bounded messages and one-way loss", async t => {
    const network = new Network();
    const processes = Array.from({ length: 40 }, (_, index) => network.start(`p${index}`, ["p0:1"]));
    const [first, second] = processes;
    if (first === undefined || second === undefined) {
        return;
    }
    await network.rounds(15);
    t.equal(first.members.filter(view => view.state === MemberState.Alive).length, 40);
    t.ok(network.maxMessageMembers <= 32, `${network.maxMessageMembers}`);

    network.blockedLinks.add("p0>p1");
    await network.rounds(15);
    t.equal(stateOf(second, "p0"), MemberState.Alive, "updates arrive through other processes");

    network.running.delete("p1:2");
    await network.rounds(20);
    t.equal(stateOf(first, "p1"), MemberState.Gone);
    await network.rounds(20);
    t.equal(stateOf(first, "p1"), MemberState.Gone);

    // Guards against a resumed process that considers all others gone.
    network.paused.add(first);
    await network.rounds(30);
    network.paused.delete(first);
    t.equal(stateOf(processes[2] ?? first, "p0"), MemberState.Gone);
    await network.rounds(1);
    t.equal(stateOf(first, "p5"), MemberState.Alive);
    await network.rounds(5);
    t.equal(stateOf(processes[2] ?? first, "p0"), MemberState.Alive);
});

// Guards against a process that stays unknown until a seed responds, and a registration that outlives its lease.
t.test("learns of processes from registrations in the store", async t => {
    const network = new Network();
    const table = MemoryKeyValueStore.create(network.clock);
    const start = async (name: string) => {
        const store = table.connect();
        const lease = ProcessLease.create({ store, clock: network.clock });
        await lease.step();
        const membership = network.start(name, []);
        const registration = MemberRegistration.create({ store, clock: network.clock, lease, membership });
        await registration.step();
        return { lease, membership, registration };
    };
    const a = await start("a");
    // Guards against one invalid registration that prevents all processes from reading the others.
    table.table.put("member/other", "{", 0).unwrap();
    const b = await start("b");
    t.equal(stateOf(b.membership, "a"), MemberState.Suspected, "registered, but without an exchange yet");
    await network.rounds(2);
    t.equal(stateOf(b.membership, "a"), MemberState.Alive);
    t.equal(stateOf(a.membership, "b"), MemberState.Alive);

    network.blockedLinks.add("a>b").add("b>a");
    for (let second = 0; second < 15; second += 1) {
        await network.rounds(1);
        for (const { lease, registration } of [a, b]) {
            await lease.step();
            await registration.step();
        }
    }
    t.equal(stateOf(b.membership, "a"), MemberState.Suspected, "unreachable, but registered");
    await a.lease.release();
    for (let second = 0; second < 15; second += 1) {
        await network.rounds(1);
        await b.lease.step();
        await b.registration.step();
    }
    t.equal(stateOf(b.membership, "a"), MemberState.Gone);
});

// Guards against a process that cannot register, or was replaced, and so reads the registrations of all others each
// second, which takes the store's time and the link when it has least of both.
t.test("a process that is not registered reads all registrations at intervals only", async t => {
    const network = new Network();
    const { clock } = network;
    const store = MemoryKeyValueStore.create(clock);
    const lease = ProcessLease.create({ store, clock });
    const membership = network.start("a", []);
    const registration = MemberRegistration.create({ store, clock, lease, membership });
    let lists = 0;
    const list = store.list.bind(store);
    store.list = prefix => {
        lists += 1;
        return list(prefix);
    };
    const put = store.put.bind(store);
    let failedWrites = 0;
    store.put = (...args) => {
        if (failedWrites < FailedWrites) {
            failedWrites += 1;
            store.failNext(StoreFault.Refused);
        }
        return put(...args);
    };
    const run = async (seconds: number): Promise<void> => {
        for (let second = 0; second < seconds; second++) {
            await lease.step();
            await registration.step();
            clock.advance(1_000);
        }
    };
    await run(FailedWrites);
    t.equal(failedWrites, FailedWrites, "it tries to register each second");
    t.ok(lists <= FailedWrites / 5 + 1, `${lists} reads of all registrations`);
    await run(1);
    t.equal(store.table.list("member/").entries.length, 1, "it registers once the store allows it");
});
