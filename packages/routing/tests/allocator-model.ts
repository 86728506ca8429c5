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

/** One step of a run; the numbers choose entry processes, messages and workers. */
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
    /** The end of the owner's lease at the store, unknown until another one has taken over. */
    leaseEndedAtMs: number;
}

type Message =
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly hello: ShareHello }
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly report: ShareReport }
    | { readonly to: "owner"; readonly owner: Owner; readonly from: Entry; readonly released: true }
    | { readonly to: "entry"; readonly entry: Entry; readonly update: ShareUpdate };

interface Entry {
    readonly name: string;
    book: ShareRegistry;
    owner: Owner;
}

/**
 * Runs an allocator against real share books under delays, losses, pauses and takeovers. After each step, a
 * separate check adds up what the books would let their entry processes use at that moment.
 */
export class AllocatorModel {
    private readonly clock = ManualClock.create(1_000);
    private readonly cell = "near/0";
    private owners: Owner[] = [];
    private readonly entries: Entry[] = [];
    private readonly stopped: Entry[] = [];
    private messages: Message[] = [];
    private workers: AllocatedWorker[];
    private restarts = 0;
    /** The largest number of slots of one worker that was in use at the same time. */
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
            const entry = { name: `e${index}`, book: ShareRegistry.create(this.clock), owner: this.newest };
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

    private get newest(): Owner {
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
            // A deposed owner may go on sending, but its own lease stops it from granting.
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
            const report = entry.book.report(this.cell, amount);
            this.messages.push({ to: "owner", owner: entry.owner, from: entry, report });
        } else if (kind === "deliver") {
            this.deliver(pick);
        } else if (kind === "lose") {
            this.messages.splice(pick % Math.max(1, this.messages.length), 1);
        } else if (kind === "takeover") {
            this.newest.leaseEndedAtMs = this.clock.nowMs();
            this.addOwner(true);
        } else if (kind === "attach") {
            entry.owner = this.newest;
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
        const hello = { entry: entry.name, ...entry.book.openStream(this.cell, entry.owner.epoch) };
        this.messages.push({ to: "owner", owner: entry.owner, from: entry, hello });
    }

    /**
     * A planned stop gives the shares up. The release is the last message of its stream: what was sent before
     * arrives first or is lost. Updates on their way still reach the book.
     */
    private stop(entry: Entry): void {
        entry.book.release(this.cell);
        this.messages = this.messages.filter(message => message.to === "entry" || message.from !== entry);
        this.messages.push({ to: "owner", owner: entry.owner, from: entry, released: true });
        this.stopped.push(entry);
        this.replace(entry);
    }

    /** A process that was killed: messages to it are lost. */
    private restart(entry: Entry): void {
        this.messages = this.messages.filter(message => message.to === "owner" || message.entry !== entry);
        this.replace(entry);
    }

    /** A restarted entry process has a new name and no shares. */
    private replace(entry: Entry): void {
        this.restarts += 1;
        const started = {
            name: `r${this.restarts}`,
            book: ShareRegistry.create(this.clock),
            owner: this.newest,
        };
        this.entries[this.entries.indexOf(entry)] = started;
        this.attach(started);
    }

    /** Messages arrive in any order, which includes what a paused or deposed process sends late. */
    private deliver(pick: number): void {
        const index = pick % Math.max(1, this.messages.length);
        const [message] = this.messages.splice(index, 1);
        if (message === undefined) {
            return;
        }
        if (message.to === "entry") {
            message.entry.book.apply(message.update);
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

    /** Requests begin where the share allows it, or all end. */
    private use(entry: Entry, amount: number): void {
        const nowMs = this.clock.nowMs();
        for (const share of entry.book.allShares()) {
            if (amount % 3 === 0) {
                share.slotsInUse = 0;
            } else {
                share.tryTakeSlot(nowMs, slotsPerWorker);
            }
        }
    }

    /** Reads the books only; knows nothing of the allocator. */
    private check(): void {
        const nowMs = this.clock.nowMs();
        const slots = new Map<string, number>();
        const connections = new Map<string, number>();
        const books = [...this.entries, ...this.stopped].map(entry => entry.book);
        for (const share of books.flatMap(book => book.allShares())) {
            if (nowMs < share.expiresAtMs) {
                slots.set(share.worker, (slots.get(share.worker) ?? 0) + share.slots);
                connections.set(share.worker, (connections.get(share.worker) ?? 0) + share.connections);
            }
        }
        this.maxSlots = Math.max(this.maxSlots, ...slots.values());
        this.maxConnections = Math.max(this.maxConnections, ...connections.values());
    }
}
