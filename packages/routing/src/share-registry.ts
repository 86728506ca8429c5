import type { Clock } from "@samphireward/core/clock";
import type { Pool } from "@samphireward/core/pool";
import type { Tables } from "@samphireward/core/tables";
import { CellShares } from "./cell-shares.js";
import type { GrantedShare } from "./granted-share.js";
import type { ShareReport } from "./share-report.js";
import type { ShareUpdate } from "./share-update.js";
import type { Target } from "./target.js";
import type { WorkerShare } from "./worker-share.js";

/** How long the send times of reports are kept. Longer than the lifetime of any share. */
const ReportRetentionMs = 60_000;

/** All slot shares that this entry process holds, by cell and worker. They expire by the monotonic clock. */
export class ShareRegistry {
    private readonly cells = new Map<string, CellShares>();
    private readonly reportSentAtMs = new Map<number, number>();
    private lastReportNumber = 0;
    private leavingWorkers: ReadonlySet<string> = new Set();
    private readonly selfReportedWorkers = new Set<string>();
    private changes = 0;
    private readonly listeners: (() => void)[] = [];

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): ShareRegistry {
        return new ShareRegistry(clock);
    }

    /** Increases whenever the set of targets or their shares may have changed. */
    get version(): number {
        return this.changes;
    }

    /** Calls `listener` after each change. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /**
     * Prepares a stream to the cell owner of `epoch`: rejects updates of lower epochs from now on and returns the
     * unexpired shares of the cell as claims.
     */
    openStream(cell: string, epoch: number): { report: number; claims: GrantedShare[] } {
        const nowMs = this.clock.nowMs();
        const shares = this.cellFor(cell);
        shares.raiseEpoch(epoch);
        const held = [...shares.workers.values()].filter(share => share.isHeld(nowMs));
        const claims = held.map(share => ({
            worker: share.worker,
            serviceAddress: share.serviceAddress,
            slots: share.slots,
            connections: share.connections,
            epoch: share.epoch,
            expiresInMs: Math.ceil(share.expiresAtMs - nowMs),
        }));
        return { report: this.registerReport(nowMs), claims };
    }

    /** Creates the report for the owner of a cell, sent every second and after large changes in demand. */
    report(cell: string, demand: number): ShareReport {
        const shares = this.cellFor(cell);
        const report = this.registerReport(this.clock.nowMs());
        return { report, epoch: shares.epoch, confirmedSequence: shares.confirmableSequence(), demand };
    }

    /** Gives up all shares of a cell permanently. Call before telling the owner about the release. */
    release(cell: string): void {
        this.cellFor(cell).release();
        this.refreshLeaving();
    }

    /** Ratio of held to planned slots of this process, over the cells of a pool; 1 if no slots are planned. */
    heldRatio(pool: Pool): number {
        const nowMs = this.clock.nowMs();
        const zones = new Set<string>(pool.zones);
        const cells = [...this.cells.values()].filter(({ dataCentre }) => zones.has(dataCentre));
        const planned = cells.reduce((sum, cell) => sum + cell.plannedSlots, 0);
        const held = cells.reduce((sum, cell) => sum + cell.heldSlots(nowMs), 0);
        return planned === 0 ? 1 : held / planned;
    }

    /** Applies an update unless it is outdated or answers an unknown report. Returns whether it was applied. */
    apply(update: ShareUpdate): boolean {
        const shares = this.cellFor(update.cell);
        const sentAtMs = this.reportSentAtMs.get(update.report);
        if (sentAtMs === undefined || !shares.isNewer(update)) {
            return false;
        }
        shares.replace(update, sentAtMs);
        shares.prune(this.clock.nowMs());
        this.refreshLeaving();
        return true;
    }

    /** Sets the targets that are leaving according to the directory and to peers. */
    setLeavingWorkers(workers: ReadonlySet<string>): void {
        this.leavingWorkers = workers;
        this.refreshLeaving();
    }

    /** Records that a target has reported itself as leaving. Kept until the target has no share left. */
    markLeaving(worker: string): void {
        if (!this.selfReportedWorkers.has(worker)) {
            this.selfReportedWorkers.add(worker);
            this.refreshLeaving();
        }
    }

    /** Targets that have reported to this process that they are leaving, for the exchange with peers. */
    selfReportedLeaving(): string[] {
        return [...this.selfReportedWorkers];
    }

    /** Shares of all workers in a pool's zones, including expired ones that are still in use. */
    sharesOf(pool: Pool): WorkerShare[] {
        const zones = new Set<string>(pool.zones);
        return this.allShares().filter(share => zones.has(share.dataCentre));
    }

    /** Returns the current targets of a pool's service. */
    targetsOf(pool: Pool, tables: Tables): Target[] {
        const nowMs = this.clock.nowMs();
        return this.sharesOf(pool).map(share => {
            const isHeld = nowMs < share.expiresAtMs;
            return {
                worker: share.worker,
                serviceAddress: share.serviceAddress,
                dataCentre: share.dataCentre,
                region: tables.zones.get(share.dataCentre)?.region ?? "",
                slots: isHeld ? share.slots : 0,
                connections: isHeld ? share.connections : 0,
                leaving: share.leaving,
            };
        });
    }

    /** Every share that is held or still in use. */
    allShares(): WorkerShare[] {
        return [...this.cells.values()].flatMap(cell => [...cell.workers.values()]);
    }

    private cellFor(cell: string): CellShares {
        const shares = this.cells.get(cell) ?? CellShares.create(cell);
        this.cells.set(cell, shares);
        return shares;
    }

    private registerReport(nowMs: number): number {
        for (const [report, sentAtMs] of this.reportSentAtMs) {
            if (nowMs - sentAtMs < ReportRetentionMs) {
                break;
            }
            this.reportSentAtMs.delete(report);
        }
        this.lastReportNumber += 1;
        this.reportSentAtMs.set(this.lastReportNumber, nowMs);
        return this.lastReportNumber;
    }

    private refreshLeaving(): void {
        const knownWorkers = new Set<string>();
        for (const share of this.allShares()) {
            knownWorkers.add(share.worker);
            share.leaving =
                this.leavingWorkers.has(share.worker) || this.selfReportedWorkers.has(share.worker);
        }
        for (const worker of this.selfReportedWorkers) {
            if (!knownWorkers.has(worker)) {
                this.selfReportedWorkers.delete(worker);
            }
        }
        this.changes += 1;
        this.listeners.forEach(listener => listener());
    }
}
