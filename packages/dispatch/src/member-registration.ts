import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import type { MemberRecord } from "./member-record.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";

/** Time to live of a registration; long, so that the renewals of many processes cost little. */
const RegistrationTtlMs = 30_000;
const RenewIntervalMs = 10_000;
const RetryDelayMs = 1_000;

/** Keeps a process registered in the store, so that owners that lose the store find it. */
export class MemberRegistration {
    private leaseId: string | undefined;
    private isRemoved = false;

    private constructor(
        private readonly store: MetadataStore,
        private readonly node: string,
        private readonly record: MemberRecord,
        private readonly log: EventLog,
    ) {}

    static create(
        store: MetadataStore,
        node: string,
        record: MemberRecord,
        log: EventLog,
    ): MemberRegistration {
        return new MemberRegistration(store, node, record, log);
    }

    /** Registers the process, and again whenever the registration has expired, until `remove` or an abort. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted && !this.isRemoved) {
            const failure = this.leaseId === undefined ? await this.register() : await this.renew();
            await sleep(failure === undefined ? RenewIntervalMs : RetryDelayMs, signal);
        }
    }

    async remove(): Promise<void> {
        this.isRemoved = true;
        const { leaseId } = this;
        this.leaseId = undefined;
        const removed = leaseId === undefined ? undefined : await this.store.revokeLease(leaseId);
        if (removed?.isErr() === true) {
            this.log.write("member-not-removed", { node: this.node, failure: removed.error });
        }
    }

    private async register(): Promise<StoreFailure | undefined> {
        const { store, node, record } = this;
        const granted = await store.grantLease(RegistrationTtlMs);
        if (granted.isErr()) {
            return granted.error;
        }
        const committed = await store.commit({
            expected: [],
            writes: [{ key: cellKeys.member(node), value: JSON.stringify(record), leaseId: granted.value }],
        });
        if (committed.isErr()) {
            return committed.error;
        }
        this.leaseId = granted.value;
        return undefined;
    }

    private async renew(): Promise<StoreFailure | undefined> {
        const renewed = await this.store.renewLease(this.leaseId ?? "");
        if (renewed.isOk()) {
            return undefined;
        }
        if (renewed.error === StoreFailure.LeaseEnded) {
            this.leaseId = undefined;
        }
        return renewed.error;
    }
}
