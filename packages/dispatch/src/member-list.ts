import type { Clock } from "@samphireward/core/clock";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import { itemsUnderPrefix } from "./items-under-prefix.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { sleep } from "./sleep.js";
import { storedRecords } from "./stored-records.js";

const ReadIntervalMs = 5_000;
const RetryDelayMs = 500;
/** A registration that has expired, perhaps while the store was away, counts for this much longer. */
const ForgetAfterMs = 30_000;

/** A process of the system, as last read from the store. */
interface Member {
    readonly address: string;
    readonly seenAtMs: number;
}

/** The other processes of the system, by their registrations. */
export class MemberList {
    private readonly members = new Map<string, Member>();

    private constructor(
        private readonly store: MetadataStore,
        private readonly ownNode: string,
        private readonly isNeeded: () => boolean,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(
        store: MetadataStore,
        ownNode: string,
        isNeeded: () => boolean,
        clock: Clock,
        log: EventLog,
    ): MemberList {
        return new MemberList(store, ownNode, isNeeded, clock, log);
    }

    /** Addresses of the other processes. */
    get addresses(): readonly string[] {
        return [...this.members.values()].map(({ address }) => address);
    }

    /** Reads the registrations regularly while they are needed, until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const isSuccessful = this.isNeeded() && (await this.refresh());
            await sleep(isSuccessful ? ReadIntervalMs : RetryDelayMs, signal);
        }
    }

    /** Reads the registrations now; returns whether they could be read. */
    async refresh(): Promise<boolean> {
        const content = await readPrefix(this.store, cellKeys.memberPrefix);
        if (content.isErr()) {
            return false;
        }
        const nowMs = this.clock.nowMs();
        for (const { id, key, value } of itemsUnderPrefix(content.value.items, cellKeys.memberPrefix)) {
            const member = storedRecords.decodeMember(value);
            if (member === undefined) {
                this.log.write("entry-unreadable", { key });
            } else if (id !== this.ownNode) {
                this.members.set(id, { address: member.address, seenAtMs: nowMs });
            }
        }
        for (const [node, { seenAtMs }] of this.members) {
            if (nowMs - seenAtMs > ForgetAfterMs) {
                this.members.delete(node);
            }
        }
        return true;
    }
}
