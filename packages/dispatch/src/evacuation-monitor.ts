import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellKeys } from "./cell-keys.js";
import type { CommitLog } from "./commit-log.js";
import type { EvacuationSource } from "./evacuation-source.js";
import { EvacuationState } from "./evacuation-state.js";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import { runInBackground } from "./run-in-background.js";

/** Dependencies provided by the cell's owner. */
interface MonitorContext {
    readonly cell: number;
    readonly source: EvacuationSource;
    readonly scheduler: CellScheduler;
    readonly store: MetadataStore;
    readonly commits: CommitLog;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called when the set of evacuated data centres was read or has changed; a plan is then due. */
    readonly onChange: () => void;
    /** Called when the watch of the requests has failed. */
    readonly onLost: (reason: string) => void;
}

/** An evacuation that this owner has seen. */
interface Evacuation {
    /** Monotonic time at which this owner read the request. */
    readonly seenAtMs: number;
    state: EvacuationState;
}

/**
 * Passes the operators' evacuations to the scheduler of a cell, and reports their progress by log lines, a gauge and a
 * key of the store. The requests are the only state that decides; the key is for operators, and is read only to tell
 * whether it has to be written.
 */
export class EvacuationMonitor {
    /** By data centre. */
    private readonly evacuations = new Map<string, Evacuation>();
    /** The stored value; undefined if it is not known. */
    private stored: string | undefined;
    private isWriting = false;
    private isClosed = false;

    private constructor(private readonly context: MonitorContext) {}

    static create(context: MonitorContext): EvacuationMonitor {
        return new EvacuationMonitor(context);
    }

    /** Starts to watch the requests. Resolves once they have been read, or when the signal aborts. */
    start(signal: AbortSignal): Promise<void> {
        const { source, log, onLost } = this.context;
        if (signal.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            signal.addEventListener("abort", () => resolve(), { once: true });
            const watching = source.run(signal, dataCentres => {
                this.apply(dataCentres);
                resolve();
            });
            runInBackground("evacuations", watching, log, onLost);
        });
    }

    /** Reports the progress if it has changed; to be called regularly. */
    report(): void {
        const { scheduler, metrics, cell, clock, log } = this.context;
        if (this.isClosed) {
            return;
        }
        if (this.evacuations.size > 0) {
            const nowMs = clock.nowMs();
            for (const { dataCentre, runs, isComplete } of scheduler.evacuations) {
                metrics.evacuatingRuns.set({ cell, data_centre: dataCentre }, runs);
                const evacuation = this.evacuations.get(dataCentre);
                const state = isComplete ? EvacuationState.Completed : EvacuationState.Running;
                if (evacuation !== undefined && evacuation.state !== state) {
                    evacuation.state = state;
                    const tookMs = Math.round(nowMs - evacuation.seenAtMs);
                    log.write("evacuation-progress", { cell, dataCentre, state, runs, tookMs });
                }
            }
        }
        runInBackground("evacuation-state", this.storeStates(), log);
    }

    /** Removes the cell's gauges, which only its owner has, and reports no more: the stored states stay as they are. */
    close(): void {
        this.isClosed = true;
        for (const dataCentre of this.evacuations.keys()) {
            this.removeGauge(dataCentre);
        }
        this.evacuations.clear();
    }

    private apply(dataCentres: ReadonlySet<string>): void {
        const { scheduler, clock, log, cell, onChange } = this.context;
        scheduler.setEvacuated(dataCentres);
        for (const dataCentre of this.evacuations.keys()) {
            if (!dataCentres.has(dataCentre)) {
                this.evacuations.delete(dataCentre);
                this.removeGauge(dataCentre);
                log.write("evacuation-ended", { cell, dataCentre });
            }
        }
        for (const { dataCentre, runs } of scheduler.evacuations) {
            if (!this.evacuations.has(dataCentre)) {
                this.evacuations.set(dataCentre, {
                    seenAtMs: clock.nowMs(),
                    state: EvacuationState.Running,
                });
                log.write("evacuation-started", { cell, dataCentre, runs });
            }
        }
        onChange();
    }

    private removeGauge(dataCentre: string): void {
        this.context.metrics.evacuatingRuns.remove({ cell: this.context.cell, data_centre: dataCentre });
    }

    /** Writes the states of the evacuations if they differ from the stored ones; one write at a time. */
    private async storeStates(): Promise<void> {
        if (this.isWriting) {
            return;
        }
        this.isWriting = true;
        try {
            this.stored ??= await this.readStored();
            const value = this.encode();
            if (!this.isClosed && this.stored !== undefined && this.stored !== value) {
                const { commits, cell } = this.context;
                // An error means that another owner has taken over, which reports the states from now on.
                const written = await commits.commit({
                    writes: [{ key: cellKeys.evacuations(cell), value }],
                });
                this.stored = written.isOk() ? value : this.stored;
            }
        } finally {
            this.isWriting = false;
        }
    }

    /** Returns the value that a previous owner has stored; undefined if the store does not answer. */
    private async readStored(): Promise<string | undefined> {
        const { store, cell } = this.context;
        const item = await store.get(cellKeys.evacuations(cell));
        return item.isErr() ? undefined : (item.value?.value ?? this.encodeStates([]));
    }

    private encode(): string {
        return this.encodeStates([...this.evacuations].map(([name, { state }]) => [name, state] as const));
    }

    private encodeStates(states: readonly (readonly [string, EvacuationState])[]): string {
        return JSON.stringify(Object.fromEntries([...states].sort(([a], [b]) => (a < b ? -1 : 1))));
    }
}
