import { randomUUID } from "node:crypto";
import type { Clock } from "@samphireward/core/clock";
import type { JsonServer } from "@samphireward/core/json-server";
import { PauseDetector } from "@samphireward/core/pause-detector";
import { SystemRandom } from "@samphireward/core/system-random";
import { StartOrderName } from "@samphireward/jobs/start-order-name";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { CellCandidate } from "./cell-candidate.js";
import { CellDirectory } from "./cell-directory.js";
import { cellKeys } from "./cell-keys.js";
import { AdmissionGate } from "./admission-gate.js";
import { cellForKey } from "./cell-for-key.js";
import type { ConfigSource } from "./config-source.js";
import { createPeerServer } from "./create-peer-server.js";
import type { DecodeSubmission } from "./decode-submission.js";
import { EpochReporter } from "./epoch-reporter.js";
import type { EvacuationSource } from "./evacuation-source.js";
import type { EventLog } from "./event-log.js";
import type { DispatchSettings } from "./dispatch-settings.js";
import { JobGateway } from "./job-gateway.js";
import { JobWriter } from "./job-writer.js";
import { MemberList } from "./member-list.js";
import { MemberRegistration } from "./member-registration.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import type { OperatorConfig } from "./operator-config.js";
import { PeerClient } from "./peer-client.js";
import type { PermitSource } from "./permit-source.js";
import { PlacementExplainer } from "./placement-explainer.js";
import { resolveCellCount } from "./resolve-cell-count.js";
import { RouteTable } from "./route-table.js";
import { runInBackground } from "./run-in-background.js";
import { runUntilAborted } from "./run-until-aborted.js";
import type { StoredOwner } from "./stored-owner.js";
import type { StoreChange } from "./store-change.js";
import type { StoredItem } from "./stored-item.js";
import { storedRecords } from "./stored-records.js";
import { TakeoverChecker } from "./takeover-checker.js";
import { PrefixWatcher } from "./prefix-watcher.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";
import { WorkerPoller } from "./worker-poller.js";
import type { WorkerSource } from "./worker-source.js";

/** Time without a response of the store after which the process reports that it is not ready. */
const UnreadyAfterMs = 4_000;

/** Dependencies of a dispatcher. */
interface DispatcherContext {
    readonly settings: DispatchSettings;
    readonly store: MetadataStore;
    readonly configs: ConfigSource;
    readonly workers: WorkerSource;
    readonly createWorkerClient: WorkerClientFactory;
    readonly permits: PermitSource;
    /** Decodes the body of callers, for questions where a job would be placed. */
    readonly decodeSubmission: DecodeSubmission;
    /** Absent if data centres are not evacuated on this deployment. */
    readonly evacuations?: EvacuationSource | undefined;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly roundTripMs: () => number;
}

/** One process of the system: accepts jobs, serves requests about them, and owns the cells that it has claimed. */
export class Dispatcher {
    readonly routes = RouteTable.create();
    readonly gateway: JobGateway;
    /** Absent if no jobs are refused because their results could not be of use. */
    readonly admission: AdmissionGate | undefined;
    /** Tells when a request that is read now may have arrived. */
    readonly pauses: PauseDetector;
    private readonly cells = CellDirectory.create();
    private readonly abort = new AbortController();
    private readonly peers = PeerClient.create();
    private readonly peerServer: JsonServer;
    private readonly members: MemberList;
    private readonly takeovers: TakeoverChecker;
    private registration: MemberRegistration | undefined;
    private readonly workers: WorkerPoller;
    private readonly instanceId = randomUUID();
    private isDraining = false;
    private areOwnersRead = false;

    private constructor(private readonly context: DispatcherContext) {
        const { store, clock, log, settings } = context;
        this.pauses = PauseDetector.create(clock);
        const writer = JobWriter.create(store, clock);
        this.gateway = JobGateway.create(this.cells, store, writer, this.peers, clock, log);
        const { cells, peers } = this;
        const explainer = PlacementExplainer.create({
            ...context,
            cells,
            peers,
            refusesHopeless: settings.refusesHopeless,
            maxBodyBytes: () => this.routes.config?.maxBodyBytes,
        });
        const epochs = EpochReporter.create(this.cells, store);
        this.peerServer = createPeerServer(
            this.cells,
            writer,
            epochs,
            explainer,
            this.pauses,
            log,
            settings.peerLimits,
            reason => context.metrics.clientRefusals.inc({ server: "peers", reason }),
        );
        this.admission =
            settings.refusesHopeless === true
                ? AdmissionGate.create({ cells, store, peers, clock, random: SystemRandom.create() })
                : undefined;
        const isOwner = (): boolean => this.cells.all.some(cell => cell.isClaimed);
        this.members = MemberList.create(store, settings.node, isOwner, clock, log);
        this.takeovers = TakeoverChecker.create(this.members, this.peers);
        this.workers = WorkerPoller.create(
            context.workers,
            {
                onRegistered: entry => this.registerWorker(entry),
                onRemoved: id => this.cells.all.forEach(cell => cell.owner?.deregisterWorker(id)),
            },
            () => this.cells.all.some(cell => cell.owner !== undefined),
            log,
        );
    }

    static create(context: DispatcherContext): Dispatcher {
        return new Dispatcher(context);
    }

    /** Whether callers should be routed to this process. */
    get isReady(): boolean {
        const sinceResponseMs = this.context.clock.nowMs() - this.context.configs.lastResponseAtMs;
        return (
            !this.isDraining &&
            this.routes.config !== undefined &&
            this.areOwnersRead &&
            sinceResponseMs < UnreadyAfterMs
        );
    }

    get draining(): boolean {
        return this.isDraining;
    }

    async start(): Promise<void> {
        this.pauses.start();
        const { configs, settings, store, clock, log, metrics } = this.context;
        const { signal } = this.abort;
        const peerAddress = await this.peerServer.listen(settings.peerAddress);
        const registration = MemberRegistration.create(store, settings.node, { address: peerAddress }, log);
        this.registration = registration;
        this.runLoop("registration", () => registration.run(signal));
        this.runLoop("configuration", () => configs.run(signal, config => this.applyConfig(config)));
        const count = await resolveCellCount({ ...this.context, workers: this.workers }, signal);
        if (count === undefined) {
            return;
        }
        metrics.layoutCells.set(count);
        log.write("layout-in-force", { cells: count });
        this.cells.set(Array.from({ length: count }, (_, cell) => this.createCandidate(cell, peerAddress)));
        const owners = PrefixWatcher.create(
            store,
            cellKeys.ownerPrefix,
            { onItems: items => this.applyOwners(items), onChange: change => this.applyOwnerChange(change) },
            clock,
            log,
        );
        this.runLoop("owners", () => owners.run(signal));
        this.runLoop("workers", () => this.workers.run(signal));
        this.runLoop("members", () => this.members.run(signal));
    }

    /** Releases the owned cells; requests are served until `close`. */
    async drain(): Promise<void> {
        this.isDraining = true;
        await Promise.all([...this.cells.all.map(cell => cell.stop()), this.registration?.remove()]);
    }

    async close(): Promise<void> {
        this.abort.abort();
        this.pauses.close();
        this.peers.close();
        await this.peerServer.close();
    }

    private runLoop(operation: string, loop: () => Promise<void>): void {
        const { log } = this.context;
        runInBackground(operation, runUntilAborted(operation, loop, this.abort.signal, log), log);
    }

    private createCandidate(cell: number, address: string): CellCandidate {
        const { settings } = this.context;
        return CellCandidate.create({
            ...this.context,
            cell,
            cellCount: () => this.cells.count,
            node: settings.node,
            instanceId: this.instanceId,
            address,
            takeovers: this.takeovers,
            limits: settings.limits,
            startOrder: settings.startOrder,
            reportsPriorities:
                settings.refusesHopeless === true || settings.startOrder === StartOrderName.Worth,
            readRules: () => this.routes.config?.routes.map(route => route.rule) ?? [],
            readConfigVersion: () => this.routes.config?.version,
            readWorkers: async () => {
                const entries = await this.workers.readCurrent();
                return entries.filter(entry => this.belongsToCell(entry, cell));
            },
            processors: settings.processors,
            otherCellCount: () =>
                this.cells.all.filter((candidate, other) => other !== cell && candidate.isClaimed).length,
        });
    }

    private applyConfig(config: OperatorConfig): void {
        if (!this.routes.apply(config)) {
            return;
        }
        const { version, routes } = config;
        this.context.log.write("config-in-force", { version, routes: routes.length });
        const rules = routes.map(route => route.rule);
        this.cells.all.forEach(cell => cell.owner?.setQueues(rules, version));
    }

    private registerWorker(entry: WorkerEntry): void {
        this.cells.all.forEach((candidate, cell) => {
            if (this.belongsToCell(entry, cell)) {
                candidate.owner?.registerWorker(entry);
            }
        });
    }

    private belongsToCell(entry: WorkerEntry, cell: number): boolean {
        return cellForKey(entry.id, this.cells.count) === cell;
    }

    private applyOwners(items: readonly StoredItem[]): void {
        this.areOwnersRead = true;
        const byKey = new Map(items.map(item => [item.key, item]));
        this.cells.all.forEach((candidate, cell) => {
            const item = byKey.get(cellKeys.owner(cell));
            candidate.updateOwner(item === undefined ? undefined : this.decodeOwner(item));
        });
    }

    private applyOwnerChange(change: StoreChange): void {
        this.cells.all.forEach((candidate, cell) => {
            if (change.key === cellKeys.owner(cell)) {
                const { key, value, revision } = change;
                candidate.updateOwner(
                    value === undefined ? undefined : this.decodeOwner({ key, value, revision }),
                );
            }
        });
    }

    private decodeOwner({ key, value, revision }: StoredItem): StoredOwner {
        const owner = storedRecords.decodeOwner(value);
        if (owner === undefined) {
            this.context.log.write("entry-unreadable", { key, revision });
        }
        return { owner, revision };
    }
}
