import { ManualClock } from "@samphireward/core/manual-clock";
import type { AllocatedWorker } from "../src/allocated-worker.js";
import { ShareRegistry } from "../src/share-registry.js";
import type { ShareHello } from "../src/share-hello.js";
import type { ShareReport } from "../src/share-report.js";
import type { ShareUpdate } from "../src/share-update.js";
import type { SlotAllocator } from "../src/slot-allocator.js";
import { allocatorLimits } from "./allocator-limits.js";

const { ttlMs, marginMs, slotsPerWorker } = allocatorLimits;

type Options = Parameters<typeof SlotAllocator.create>[0];
type Create = (options: Options) => SlotAllocator;

/** One step of a run; `pick` and `amount` select entry processes, messages, workers and quantities. */
interface Step {
    readonly kind:
        | "advance"
        | "report"
        | "deliver"
        | "lose"
        | "takeover"
        | "attach"
        | "use"
        | "leave"
        | "restart"
        | "stop";
    readonly pick: number;
    readonly amount: number;
}

interface Owner {
    readonly allocator: SlotAllocator;
    readonly epoch: number;
    /** End of the owner's lease in the store; infinite until another owner has taken over. */
    leaseEndedAtMs: number;
}

type Message =
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly hello: ShareHello }
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly report: ShareReport }
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly released: true }
    | { readonly to: "entry"; readonly entry: Entry; readonly update: ShareUpdate };

interface Entry {
    readonly name: string;
    registry: ShareRegistry;
    owner: Owner;
}

/**
 * Runs an allocator against real share registries under delays, message loss, pauses and takeovers. After each step,
 * an independent check adds up what the registries would let their entry processes use at that time.
 */
export class AllocatorModel {
    private readonly clock = ManualClock.create(1_000);
    private readonly cell = "near/0";
    private owners: Owner[] = [];
    private readonly entries: Entry[] = [];
    private readonly stoppedEntries: Entry[] = [];
    private messages: Message[] = [];
    private workers: AllocatedWorker[];
    private restarts = 0;
    /** The largest number of slots of one worker that were granted at the same time. */
    maxSlots = 0;
    maxConnections = 0;

    constructor(
        private readonly create: Create,
        entryCount: number,
        workerCount: number,
    ) {
        this.workers = Array.from({ length: workerCount }, (_, index) => ({
            worker: `w${index}`,
            serviceAddress: "127.0.0.1:1",
            slots: slotsPerWorker,
            connections: 64,
            leaving: false,
        }));
        this.addOwner(false);
        for (let index = 0; index < entryCount; index += 1) {
            const entry = {
                name: `e${index}`,
                registry: ShareRegistry.create(this.clock),
                owner: this.newestOwner,
            };
            this.entries.push(entry);
            this.attach(entry);
        }
    }

    run(steps: readonly Step[]): void {
        for (const step of steps) {
            this.apply(step);
            this.check();
        }
    }

    private get newestOwner(): Owner {
        return this.owners.at(-1) as Owner;
    }

    private addOwner(isTakeover: boolean): void {
        const epoch = this.owners.length + 1;
        const owner: Owner = { epoch, leaseEndedAtMs: Infinity, allocator: undefined as never };
        const allocator = this.create({
            clock: this.clock,
            cell: this.cell,
            epoch,
            ttlMs,
            marginMs,
            isTakeover,
            // A deposed owner may keep sending, but the end of its lease stops it from granting.
            mayGrant: () => this.clock.nowMs() < owner.leaseEndedAtMs,
        });
        allocator.setWorkers(this.workers);
        this.owners.push(Object.assign(owner, { allocator }));
    }

    private apply({ kind, pick, amount }: Step): void {
        const entry = this.entries[pick % this.entries.length] as Entry;
        if (kind === "advance") {
            this.clock.advance(amount * 20);
        } else if (kind === "report") {
            const report = entry.registry.report(this.cell, amount);
            this.messages.push({ to: "owner", owner: entry.owner, from: entry, report });
        } else if (kind === "deliver") {
            this.deliver(pick);
        } else if (kind === "lose") {
            this.messages.splice(pick % Math.max(1, this.messages.length), 1);
        } else if (kind === "takeover") {
            this.newestOwner.leaseEndedAtMs = this.clock.nowMs();
            this.addOwner(true);
        } else if (kind === "attach") {
            entry.owner = this.newestOwner;
            this.attach(entry);
        } else if (kind === "use") {
            this.use(entry, amount);
        } else if (kind === "leave") {
            const worker = this.workers[pick % this.workers.length] as AllocatedWorker;
            this.workers = this.workers.map(each =>
                each === worker ? { ...each, leaving: !each.leaving } : each,
            );
            this.owners.forEach(owner => owner.allocator.setWorkers(this.workers));
        } else if (kind === "stop") {
            this.stop(entry);
        } else {
            this.restart(entry);
        }
    }

    private attach(entry: Entry): void {
        const hello = { entry: entry.name, ...entry.registry.openStream(this.cell, entry.owner.epoch) };
        this.messages.push({ to: "owner", owner: entry.owner, from: entry, hello });
    }

    /**
     * A planned stop gives up the shares. The release is the last message of its stream, so earlier messages to the
     * owner that are still in transit are lost. Updates in transit still reach the registry.
     */
    private stop(entry: Entry): void {
        entry.registry.release(this.cell);
        this.messages = this.messages.filter(message => message.to === "entry" || message.from !== entry);
        this.messages.push({ to: "owner", owner: entry.owner, from: entry, released: true });
        this.stoppedEntries.push(entry);
        this.replace(entry);
    }

    /** Replaces a killed process: messages to it are lost. */
    private restart(entry: Entry): void {
        this.messages = this.messages.filter(message => message.to === "owner" || message.entry !== entry);
        this.replace(entry);
    }

    /** Starts an entry process with a new name and no shares in place of `entry`. */
    private replace(entry: Entry): void {
        this.restarts += 1;
        const started = {
            name: `r${this.restarts}`,
            registry: ShareRegistry.create(this.clock),
            owner: this.newestOwner,
        };
        this.entries[this.entries.indexOf(entry)] = started;
        this.attach(started);
    }

    /** Delivers one message. They arrive in any order, including late ones of paused or deposed processes. */
    private deliver(pick: number): void {
        const index = pick % Math.max(1, this.messages.length);
        const [message] = this.messages.splice(index, 1);
        if (message === undefined) {
            return;
        }
        if (message.to === "entry") {
            message.entry.registry.apply(message.update);
            return;
        }
        const { allocator } = message.owner;
        if ("hello" in message) {
            allocator.attach(message.hello);
        } else if ("report" in message) {
            allocator.report(message.from.name, message.report);
        } else {
            allocator.release(message.from.name);
        }
        const update = allocator.update(message.from.name);
        if (update !== undefined) {
            this.messages.push({ to: "entry", entry: message.from, update });
        }
    }

    /** Takes a slot of each share that allows it, or releases all slots. */
    private use(entry: Entry, amount: number): void {
        const nowMs = this.clock.nowMs();
        for (const share of entry.registry.allShares()) {
            if (amount % 3 === 0) {
                share.slotsInUse = 0;
            } else {
                share.tryTakeSlot(nowMs, slotsPerWorker);
            }
        }
    }

    /** Adds up the unexpired shares, from the registries alone and independently of the allocator. */
    private check(): void {
        const nowMs = this.clock.nowMs();
        const slots = new Map<string, number>();
        const connections = new Map<string, number>();
        const registries = [...this.entries, ...this.stoppedEntries].map(entry => entry.registry);
        for (const share of registries.flatMap(registry => registry.allShares())) {
            if (nowMs < share.expiresAtMs) {
                slots.set(share.worker, (slots.get(share.worker) ?? 0) + share.slots);
                connections.set(share.worker, (connections.get(share.worker) ?? 0) + share.connections);
            }
        }
        this.maxSlots = Math.max(this.maxSlots, ...slots.values());
        this.maxConnections = Math.max(this.maxConnections, ...connections.values());
    }
}
