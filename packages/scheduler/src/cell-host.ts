import type { CellName } from "@samphireward/core/cell-name";
import { rendezvousPick } from "@samphireward/core/rendezvous-pick";
import type { Tables } from "@samphireward/core/tables";
import type { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import { CellOwnership } from "@samphireward/state/cell-ownership";
import * as Effect from "effect/Effect";
import { OwnedCell } from "./owned-cell.js";
import type { SchedulerSettings } from "./scheduler-settings.js";

const OwnershipCheckIntervalMs = 100;
const ReopenDelayMs = 500;

interface HostOptions {
    readonly cell: CellName;
    readonly runtime: ProcessRuntime;
    readonly tables: () => Tables | undefined;
    readonly placement: SchedulerSettings["placement"];
}

/** Runs one cell in this process: acquires it when it is free, and serves it while it is owned. */
export class CellHost {
    private readonly ownership: CellOwnership;
    private ownedCell: OwnedCell | undefined;
    private isStopping = false;
    private readonly stopped: Promise<void>;
    private markStopped: () => void = () => undefined;

    private constructor(private readonly options: HostOptions) {
        const { cell, runtime } = options;
        const { name, address } = runtime.membership.self;
        this.stopped = new Promise(resolve => (this.markStopped = resolve));
        this.ownership = CellOwnership.create({
            store: runtime.store,
            lease: runtime.lease,
            clock: runtime.clock,
            cell: String(cell),
            owner: name,
            address,
            isPreferred: () => this.isPreferred(),
            onChange: epoch =>
                runtime.log.info("cell ownership changed", { cell: String(cell), epoch: epoch ?? 0 }),
        });
    }

    static create(options: HostOptions): CellHost {
        return new CellHost(options);
    }

    /** The owned cell while this process owns the cell and has replayed its log. */
    get owned(): OwnedCell | undefined {
        return this.ownedCell;
    }

    run(): Effect.Effect<void> {
        return Effect.all([this.ownership.run(), this.followOwnership()], {
            concurrency: "unbounded",
            discard: true,
        });
    }

    /** Applies the latest VM list and tables. */
    update(): void {
        const tables = this.options.tables();
        if (tables !== undefined) {
            this.ownedCell?.update(this.options.runtime.vms.all(), tables);
        }
    }

    /** Stops serving the cell, commits the records that the log has queued and releases the cell to the next owner. */
    async release(): Promise<void> {
        this.isStopping = true;
        await this.stopped;
        await this.ownership.release();
    }

    private followOwnership(): Effect.Effect<never> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                if (this.isStopping) {
                    this.markStopped();
                    yield* Effect.never;
                }
                const epoch = this.ownership.epoch;
                const tables = this.options.tables();
                if (epoch === undefined || tables === undefined) {
                    yield* Effect.sleep(OwnershipCheckIntervalMs);
                    return;
                }
                const { cell, runtime, placement } = this.options;
                const owned = yield* Effect.promise(() =>
                    OwnedCell.open({ cell, epoch, runtime, ownership: this.ownership, tables, placement }),
                );
                if (owned === undefined) {
                    yield* Effect.sleep(ReopenDelayMs);
                    return;
                }
                yield* this.serve(owned, epoch);
            }),
        );
    }

    private serve(owned: OwnedCell, epoch: number): Effect.Effect<void> {
        const { cell, runtime } = this.options;
        this.ownedCell = owned;
        this.update();
        const { name, address } = runtime.membership.self;
        runtime.owners.update({ cell: String(cell), owner: name, epoch, address });
        runtime.log.info("serving cell", { cell: String(cell), epoch });
        const end = Effect.promise(() => {
            this.ownedCell = undefined;
            return owned.close(this.isStopping);
        });
        return Effect.raceFirst(owned.run(), this.waitUntilLost(epoch)).pipe(Effect.ensuring(end));
    }

    private waitUntilLost(epoch: number): Effect.Effect<void> {
        return Effect.gen({ self: this }, function* () {
            while (this.ownership.epoch === epoch && !this.isStopping) {
                yield* Effect.sleep(OwnershipCheckIntervalMs);
            }
        });
    }

    /**
     * Whether this process is preferred as owner: rendezvous hash over the live schedulers of the cell's
     * region, or of all regions if it has none.
     */
    private isPreferred(): boolean {
        const { cell, runtime, tables } = this.options;
        const region = tables()?.zones.get(cell.dataCentre)?.region;
        const live = runtime.membership.members.filter(
            member => member.role === "scheduler" && member.state === "alive" && !member.leaving,
        );
        const local = live.filter(member => member.region === region);
        const candidates = (local.length > 0 ? local : live).map(member => member.name);
        return rendezvousPick(String(cell), candidates) === runtime.membership.self.name;
    }
}
