import { Agent } from "node:http";
import { CellName } from "@samphireward/core/cell-name";
import { parseAddress } from "@samphireward/core/parse-address";
import { runInBackground } from "@samphireward/core/run-in-background";
import type { Tables } from "@samphireward/core/tables";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import { WorkClass } from "@samphireward/core/work-class";
import { InterferenceAwarePolicy } from "@samphireward/placement/interference-aware-policy";
import { InterferenceLearner } from "@samphireward/placement/interference-learner";
import { InterferenceModel } from "@samphireward/placement/interference-model";
import type { Hello } from "@samphireward/protocol/gen/samphireward_pb";
import type { HandOverGrant } from "@samphireward/routing/hand-over-grant";
import { SlotAllocator } from "@samphireward/routing/slot-allocator";
import { keepRunning } from "@samphireward/runtime/keep-running";
import type { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import type { CellOwnership } from "@samphireward/state/cell-ownership";
import { GroupCommitLog } from "@samphireward/state/group-commit-log";
import { CellOwner } from "@samphireward/tasks/cell-owner";
import { HttpWorkerClient } from "@samphireward/tasks/http-worker-client";
import { runCellOwner } from "@samphireward/tasks/run-cell-owner";
import * as Effect from "effect/Effect";
import { CellOperations } from "./cell-operations.js";
import { CellSession } from "./cell-session.js";
import { CellTables } from "./cell-tables.js";
import { EncodedTransitionLog } from "./encoded-transition-log.js";
import { CellStateMachine } from "./cell-state-machine.js";
import { HandOverRow } from "./hand-over-row.js";
import type { LogRow } from "./log-row.js";
import type { SchedulerSettings } from "./scheduler-settings.js";
import { OwnedCellLimits } from "./owned-cell-limits.js";

/** Dependencies and settings of an owned cell. */
interface OwnedCellOptions {
    readonly cell: CellName;
    readonly epoch: number;
    readonly runtime: ProcessRuntime;
    readonly ownership: CellOwnership;
    readonly tables: Tables;
    readonly placement: SchedulerSettings["placement"];
}

/** This process's ownership of a cell in one epoch, from the replay of the log until the ownership ends. */
export class OwnedCell {
    private readonly sessions = new Set<CellSession>();
    private readonly agent = new Agent({ keepAlive: true, maxSockets: OwnedCellLimits.socketsPerWorker });
    private readonly owner: CellOwner;
    private readonly allocator: SlotAllocator;
    private readonly operations: CellOperations;
    private cellTables: CellTables;
    private listedWorkers: readonly WorkerInfo[] | undefined;
    private tables: Tables | undefined;
    /** The workers of this cell among `listedWorkers`. */
    private workers: readonly WorkerInfo[] = [];

    private constructor(
        private readonly options: OwnedCellOptions,
        private readonly log: GroupCommitLog<LogRow, LogRow>,
        machine: CellStateMachine,
        handedOver: readonly HandOverGrant[] | undefined,
    ) {
        const { cell, epoch, runtime, ownership, tables } = options;
        this.cellTables = CellTables.create(tables, cell);
        const model = InterferenceModel.create();
        this.owner = CellOwner.create({
            clock: runtime.clock,
            log: EncodedTransitionLog.create(log),
            state: machine.copyState(),
            policy: this.createPolicy(model),
            learner: InterferenceLearner.create(model),
            tables: this.cellTables.owner,
            createClient: worker => this.connect(worker),
            mayGrant: () => ownership.canGrant(),
            onDeposed: () => ownership.markDeposed(epoch),
        });
        this.allocator = SlotAllocator.create({
            clock: runtime.clock,
            cell: String(cell),
            epoch,
            ttlMs: OwnedCellLimits.shareTtlMs,
            marginMs: OwnedCellLimits.shareMarginMs,
            isTakeover: epoch > 1,
            handedOver,
            // Unlike tasks, shares need no valid lease: the worker itself refuses requests over its slots,
            // and requests have to continue while the store is unreachable.
            mayGrant: () => ownership.epoch === epoch,
        });
        this.operations = CellOperations.create({
            cell: String(cell),
            owner: runtime.membership.self.name,
            epoch,
            cellOwner: this.owner,
            state: () => machine.state,
        });
    }

    /**
     * Replays the log and starts the epoch in it. Returns `undefined` when the cell was lost or the store
     * failed.
     */
    static async open(options: OwnedCellOptions): Promise<OwnedCell | undefined> {
        const { cell, epoch, runtime, ownership } = options;
        const machine = CellStateMachine.create();
        const log = await GroupCommitLog.open<LogRow, LogRow>({
            store: runtime.store,
            clock: runtime.clock,
            cell: String(cell),
            owner: runtime.membership.self.name,
            epoch,
            state: machine,
            onDeposed: () => ownership.markDeposed(epoch),
        });
        if (log.isErr()) {
            runtime.log.warn("cannot open the transition log of the cell", {
                cell: String(cell),
                epoch,
                reason: log.error.message,
            });
            return undefined;
        }
        const { handedOver } = machine;
        const owned = new OwnedCell(options, log.value, machine, handedOver);
        return handedOver === undefined || (await owned.recordHandOverTaken(machine)) ? owned : undefined;
    }

    /** Runs log commits and calls to workers until interrupted. */
    run(): Effect.Effect<void> {
        const log = this.options.runtime.log;
        const loops = {
            commits: this.log.run(),
            owner: runCellOwner(this.owner),
        };
        const running = Object.entries(loops).map(([name, loop]) => keepRunning(name, loop, log));
        return Effect.all(running, { concurrency: "unbounded", discard: true });
    }

    /**
     * Attaches an entry process. The caller passes requests to the session and detaches it at the end of the
     * stream.
     */
    attach(hello: Hello): CellSession {
        const { owner, allocator, operations } = this;
        const { log } = this.options.runtime;
        const session = CellSession.create({ owner, allocator, operations, log }, hello);
        this.sessions.add(session);
        return session;
    }

    detach(session: CellSession): void {
        this.sessions.delete(session);
        const isReplaced = [...this.sessions].some(({ entry }) => entry === session.entry);
        if (!isReplaced) {
            this.allocator.detach(session.entry);
        }
    }

    /** Applies the latest VM list and tables. Called every second, usually with unchanged arguments. */
    update(workers: readonly WorkerInfo[], tables: Tables): void {
        if (workers !== this.listedWorkers || tables !== this.tables) {
            this.selectWorkers(workers, tables);
        }
        this.owner.setTables(this.cellTables.owner);
        this.owner.updateWorkers(this.workers);
        const { slotsPerWorker: slots, connectionsPerWorker: connections } = this.cellTables;
        this.allocator.setWorkers(
            this.workers.map(({ name, serviceAddress, leaving }) => ({
                worker: name,
                serviceAddress,
                slots,
                connections,
                leaving,
            })),
        );
    }

    private selectWorkers(listed: readonly WorkerInfo[], tables: Tables): void {
        const { cell } = this.options;
        const cells = tables.zones.get(cell.dataCentre)?.cells ?? 1;
        this.listedWorkers = listed;
        this.tables = tables;
        this.cellTables = CellTables.create(tables, cell);
        this.workers = listed.filter(
            ({ dataCentre, rack }) =>
                dataCentre === cell.dataCentre &&
                CellName.ofRack(dataCentre, rack, cells).index === cell.index,
        );
    }

    /**
     * Closes the owner and its sessions. On a planned stop, also hands over the slot shares and commits all
     * records that the log has queued.
     */
    async close(isPlanned: boolean): Promise<void> {
        this.owner.close();
        for (const session of this.sessions) {
            session.end();
        }
        if (isPlanned) {
            const row = HandOverRow.of(this.allocator.handOver());
            runInBackground("hand over", this.log.append([row]), this.options.runtime.log);
            await this.log.flush();
        }
        this.agent.destroy();
    }

    /** Records that the last owner's shares are taken, so that no later owner relies on them. */
    private async recordHandOverTaken(machine: CellStateMachine): Promise<boolean> {
        runInBackground("hand over", this.log.append([HandOverRow.taken]), this.options.runtime.log);
        await this.log.flush();
        return machine.handedOver === undefined;
    }

    private connect(worker: WorkerInfo): HttpWorkerClient {
        const { cell, epoch } = this.options;
        return HttpWorkerClient.create({
            ...parseAddress(worker.taskAddress),
            cell: String(cell),
            epoch,
            timeoutMs: OwnedCellLimits.workerCallTimeoutMs,
            agent: this.agent,
        });
    }

    private createPolicy(model: InterferenceModel): InterferenceAwarePolicy {
        const pools = [...this.options.tables.pools.values()];
        const latencyCritical = pools.filter(pool => pool.class === WorkClass.LatencyCritical);
        return InterferenceAwarePolicy.create(model, {
            ...this.options.placement,
            latencyCriticalClasses: new Set(latencyCritical.map(pool => pool.interferenceClass)),
        });
    }
}
