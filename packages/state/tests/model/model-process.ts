import type { ManualClock } from "@samphireward/core/manual-clock";
import { CellOwnership } from "../../src/cell-ownership.js";
import { GroupCommitLog } from "../../src/group-commit-log.js";
import type { KeyValueStore } from "../../src/key-value-store.js";
import { ProcessLease } from "../../src/process-lease.js";
import { ListStateMachine } from "../../src/testing/list-state-machine.js";
import type { MemoryKeyValueStore } from "../../src/testing/memory-key-value-store.js";
import type { HistoryEvent } from "./history-event.js";

/** Cell and ring size of all model tests; the small ring wraps within one schedule. */
const ModelCell = { cell: "a/0", ringSlots: 4 } as const;

interface Options {
    readonly name: string;
    readonly clock: ManualClock;
    readonly connection: MemoryKeyValueStore;
    /** Wraps the connection that the log uses, to make its owner faulty. */
    readonly breakStore: (store: KeyValueStore) => KeyValueStore;
    readonly record: (event: HistoryEvent) => void;
}

/** One run of a scheduler process with its lease, cell ownership and log, advanced by `iterate`. */
export class ModelProcess {
    readonly connection: MemoryKeyValueStore;
    private readonly lease: ProcessLease;
    private readonly ownership: CellOwnership;
    private log: GroupCommitLog<number, number> | undefined;
    private logEpoch = 0;
    private isBusy = false;

    private constructor(private readonly options: Options) {
        const { connection: store, clock, name: owner } = options;
        this.connection = store;
        this.lease = ProcessLease.create({ store, clock });
        this.ownership = CellOwnership.create({
            store,
            clock,
            lease: this.lease,
            cell: ModelCell.cell,
            owner,
            address: "",
            isPreferred: () => owner === "p0",
        });
    }

    static create(options: Options): ModelProcess {
        return new ModelProcess(options);
    }

    get name(): string {
        return this.options.name;
    }

    canGrant(): boolean {
        return this.ownership.canGrant();
    }

    /** Appends to the log, if this process has opened one, even if it no longer owns the cell. */
    append(id: number, timeoutMs?: number): void {
        const options = timeoutMs === undefined ? {} : { queueTimeoutMs: timeoutMs };
        void this.log?.append([id], options).then(result => {
            this.options.record(
                result.isOk()
                    ? { type: "acknowledged", id }
                    : { type: "refused", id, code: result.error.code },
            );
        });
    }

    /** Starts one turn of the loops, unless the previous one is still waiting for the store. */
    iterate(): void {
        if (!this.isBusy) {
            this.isBusy = true;
            void this.turn().finally(() => (this.isBusy = false));
        }
    }

    async release(): Promise<void> {
        await this.ownership.release();
        await this.lease.release();
    }

    private async turn(): Promise<void> {
        await this.lease.step();
        await this.ownership.step();
        const { epoch } = this.ownership;
        if (epoch !== undefined && epoch !== this.logEpoch) {
            await this.open(epoch);
        }
        await this.log?.commit();
    }

    private async open(epoch: number): Promise<void> {
        const { connection, breakStore, clock, name: owner, record } = this.options;
        const state = ListStateMachine.create<number>();
        const store = breakStore(connection);
        const opened = await GroupCommitLog.open({ store, clock, owner, epoch, state, ...ModelCell });
        if (opened.isOk()) {
            this.log = opened.value;
            this.logEpoch = epoch;
            record({ type: "opened", epoch, ids: [...state.items] });
        } else {
            record({ type: "open-failed", epoch, code: opened.error.code });
        }
    }
}
