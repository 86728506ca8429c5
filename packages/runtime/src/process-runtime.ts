import type { ConnectRouter } from "@connectrpc/connect";
import { Counters } from "@samphireward/core/counters";
import { createLogger } from "@samphireward/core/create-logger";
import { describeError } from "@samphireward/core/describe-error";
import { logOpenResources } from "@samphireward/core/log-open-resources";
import type { ProcessLogger } from "@samphireward/core/process-logger";
import { SystemClock } from "@samphireward/core/system-clock";
import { SystemRandom } from "@samphireward/core/system-random";
import type { Tables } from "@samphireward/core/tables";
import { VmList } from "@samphireward/core/vm-list";
import { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import { PeerServer } from "@samphireward/protocol/peer-server";
import { ConfigFeed } from "@samphireward/state/config-feed";
import { HttpKeyValueStore } from "@samphireward/state/http-key-value-store";
import { MemberRegistration } from "@samphireward/state/member-registration";
import { Membership } from "@samphireward/state/membership";
import { ProcessLease } from "@samphireward/state/process-lease";
import * as Effect from "effect/Effect";
import { ConnectPeerExchange } from "./connect-peer-exchange.js";
import { keepRunning } from "./keep-running.js";
import type { KeyOwner } from "./key-owner.js";
import { OwnerDirectory } from "./owner-directory.js";
import { createPeerService } from "./create-peer-service.js";
import type { RuntimeSettings } from "./runtime-settings.js";
import { TransportCache } from "./transport-cache.js";

/** The parts in which the kinds of processes differ. */
interface RuntimeOptions {
    readonly role: "entry" | "scheduler";
    readonly settings: RuntimeSettings;
    /** Registers further services on the peer port. */
    readonly routes?: (router: ConnectRouter) => void;
    readonly keys?: KeyOwner;
    readonly onTablesApplied: (tables: Tables, revision: number) => void;
    /** Called after each attempt to read the VM list. */
    readonly onVmList: () => void;
}

/** Components common to all processes: store lease, membership, configuration, peer port and VM list. */
export class ProcessRuntime {
    readonly clock = SystemClock.create();
    readonly random = SystemRandom.create();
    readonly counters = Counters.create();
    readonly log: ProcessLogger;
    readonly store: HttpKeyValueStore;
    readonly lease: ProcessLease;
    readonly config: ConfigFeed;
    readonly membership: Membership;
    readonly owners: OwnerDirectory;
    readonly transports = TransportCache.create((address, reason) =>
        this.recordClosedConnection(address, reason),
    );
    readonly vms: VmList;
    private readonly registration: MemberRegistration;
    private readonly peerServer: PeerServer;

    private constructor(private readonly options: RuntimeOptions) {
        const { settings, role } = options;
        const { clock, random } = this;
        this.log = createLogger(settings.name, settings.logLevel);
        this.owners = OwnerDirectory.create(random);
        this.store = HttpKeyValueStore.create({
            address: settings.store.address,
            timeoutMs: settings.store.timeout,
            clock,
        });
        this.vms = VmList.create(settings.directory.address);
        this.lease = ProcessLease.create({ store: this.store, clock });
        this.config = this.createConfig();
        this.membership = Membership.create({
            self: {
                name: settings.name,
                role,
                region: settings.region,
                dataCentre: settings.dataCentre,
                address: settings.peer.listen,
                incarnation: clock.wallMs(),
            },
            seeds: settings.peer.seeds,
            clock,
            random,
            exchange: ConnectPeerExchange.create(this.transports, this.owners),
            delegate: {
                configRevision: () => this.config.revision,
                configNewerThan: revision => {
                    const document = this.config.applied?.document;
                    return document !== undefined && document.revision > revision ? document : undefined;
                },
                onConfig: document => void this.config.acceptFromPeer(document),
                leavingTargets: () => this.leavingTargets(),
                onLeavingTargets: names => names.forEach(name => this.vms.markLeaving(name)),
                onContact: () => this.config.recordPeerContact(),
            },
        });
        const { store, lease, membership } = this;
        this.registration = MemberRegistration.create({ store, clock, lease, membership });
        this.peerServer = PeerServer.create(router => {
            router.service(
                PeerService,
                createPeerService({ membership, owners: this.owners, keys: options.keys }),
            );
            options.routes?.(router);
        });
    }

    static create(options: RuntimeOptions): ProcessRuntime {
        return new ProcessRuntime(options);
    }

    /**
     * Opens the peer port. Rejects when it cannot listen on the address. From then on, rejections that nobody handles
     * are logged and counted; without a listener, Node.js ends the process.
     */
    async open(): Promise<void> {
        process.on("unhandledRejection", err => this.recordUnhandledRejection(err));
        const address = await this.peerServer.listen(this.options.settings.peer.listen);
        this.log.info("peer port is open", { address });
    }

    /** Runs the common loops, one fiber each, until interrupted. */
    run(): Effect.Effect<void> {
        const loops = {
            lease: this.lease.run(),
            configuration: this.config.run(),
            membership: this.membership.run(),
            registration: this.registration.run(),
            "vm-list": this.readVms(),
            connections: this.pruneConnections(),
        };
        const running = Object.entries(loops).map(([name, loop]) => keepRunning(name, loop, this.log));
        return Effect.all(running, { concurrency: "unbounded", discard: true });
    }

    /** Releases the lease, which ends the registration, and closes all connections. The process then ends by itself. */
    async close(): Promise<void> {
        await this.lease.release();
        await this.peerServer.close();
        this.transports.close();
        this.store.close();
        this.vms.close();
        logOpenResources(this.log);
    }

    private createConfig(): ConfigFeed {
        return ConfigFeed.create({
            store: this.store,
            clock: this.clock,
            onApplied: ({ document, tables }) => {
                const { revision, author, changeId } = document;
                this.log.info("configuration is applied", { revision, author, changeId });
                this.options.onTablesApplied(tables, revision);
            },
            onRejected: (problems, source) =>
                this.log.error("configuration is not valid", { problems, source }),
        });
    }

    private leavingTargets(): string[] {
        return this.vms
            .all()
            .filter(worker => worker.leaving)
            .map(worker => worker.name);
    }

    private readVms(): Effect.Effect<never> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                const isRead = yield* Effect.promise(() => this.vms.refresh());
                this.counters.add(isRead ? "vms.read" : "vms.read-failed");
                this.options.onVmList();
                yield* Effect.sleep(this.options.settings.directory.interval);
            }),
        );
    }

    private recordUnhandledRejection(err: unknown): void {
        this.counters.add("process.unhandled-rejections");
        this.log.error("unhandled rejection", { error: describeError(err) });
    }

    private recordClosedConnection(address: string, reason: string): void {
        this.counters.add("peers.connections-closed");
        this.log.info("peer connection is closed", { address, reason });
    }

    /** Drops the connections to addresses that no member or seed uses any more. */
    private pruneConnections(): Effect.Effect<never> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                yield* Effect.sleep(PruneIntervalMs);
                const members = this.membership.members.map(member => member.address);
                this.transports.retainOnly(new Set([...members, ...this.options.settings.peer.seeds]));
            }),
        );
    }
}

const PruneIntervalMs = 60_000;
