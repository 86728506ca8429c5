import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "@samphireward/core/clock";
import type { RandomSource } from "@samphireward/core/random-source";
import type { ShareUpdate as ShareUpdateMessage } from "@samphireward/protocol/gen/samphireward_pb";
import type { TransportCache } from "@samphireward/runtime/transport-cache";
import type { ShareRegistry } from "@samphireward/routing/share-registry";
import * as Effect from "effect/Effect";
import type { CellOwnerRecord } from "@samphireward/runtime/cell-owner-record";
import { CellStream } from "./cell-stream.js";

const ReportIntervalMs = 1_000;
const OwnerLookupIntervalMs = 200;
/** An owner answers each demand report. After this time without an answer, a newer owner is looked for. */
const OwnerSilenceTimeoutMs = 1_500;
const MinReconnectDelayMs = 100;
const MaxReconnectDelayMs = 500;
/** Time for the owner to read the release message; otherwise the shares stay in use until they expire. */
const ReleaseTimeoutMs = 300;
const ReleasePollIntervalMs = 10;

interface CellConnectorOptions {
    readonly cell: string;
    /** Id of this entry process, unique for each start of the process. */
    readonly entry: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly shares: ShareRegistry;
    readonly transports: TransportCache;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the newest known owner; called before each connection and while the owner is silent. */
    readonly findOwner: () => Promise<CellOwnerRecord | undefined>;
    /** Number of requests, in progress and queued, that this process would send to the cell. */
    readonly demand: () => number;
    readonly onConnectionChange: (connected: boolean) => void;
}

/** Maintains one stream to the current owner of a cell; each cell has its own connector and fiber. */
export class CellConnector {
    private stream: CellStream | undefined;
    private lastUpdateAtMs = 0;
    private isReleased = false;

    private constructor(private readonly options: CellConnectorOptions) {}

    static create(options: CellConnectorOptions): CellConnector {
        return new CellConnector(options);
    }

    /** The stream to the owner; `undefined` while there is none. */
    get currentStream(): CellStream | undefined {
        return this.stream;
    }

    /** Connects, reports demand, and reconnects after each lost stream until the fiber is interrupted. */
    run(): Effect.Effect<void> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                if (this.isReleased) {
                    yield* Effect.never;
                }
                const owner = yield* Effect.promise(() => this.options.findOwner());
                if (owner === undefined) {
                    yield* Effect.sleep(OwnerLookupIntervalMs);
                    return;
                }
                yield* this.runConnection(owner);
                const jitterMs = this.options.random.next() * (MaxReconnectDelayMs - MinReconnectDelayMs);
                yield* Effect.sleep(MinReconnectDelayMs + jitterMs);
            }),
        );
    }

    /** Releases all shares permanently, so that the owner can grant them to others before they expire. */
    async release(): Promise<void> {
        const { shares, cell, clock } = this.options;
        this.isReleased = true;
        shares.release(cell);
        this.stream?.send({ case: "release", value: {} });
        this.stream?.close();
        const deadlineMs = clock.nowMs() + ReleaseTimeoutMs;
        while (this.stream !== undefined && clock.nowMs() < deadlineMs) {
            await sleep(ReleasePollIntervalMs);
        }
    }

    private runConnection(owner: CellOwnerRecord): Effect.Effect<void> {
        return Effect.gen({ self: this }, function* () {
            const { cell, entry, dataCentre, region, shares, transports } = this.options;
            const stream = CellStream.create(update => this.applyShares(update));
            const hello = shares.openStream(cell, owner.epoch);
            stream.send({ case: "hello", value: { entry, dataCentre, region, cell, ...hello } });
            const streamEnd = Effect.promise(signal =>
                // Losing the stream is not an error; `run` reconnects.
                stream.run(transports.get(owner.address), signal).catch(() => undefined),
            );
            this.stream = stream;
            this.options.onConnectionChange(true);
            this.lastUpdateAtMs = this.options.clock.nowMs();
            const loops = Effect.raceFirst(this.runReportLoop(stream), this.waitUntilReplaced(owner));
            yield* Effect.raceFirst(streamEnd, loops).pipe(
                Effect.ensuring(Effect.sync(() => this.handleDisconnect(stream))),
            );
        });
    }

    private runReportLoop(stream: CellStream): Effect.Effect<void> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                yield* Effect.sleep(ReportIntervalMs);
                this.report(stream);
            }),
        );
    }

    /** Completes when the owner has been silent for `OwnerSilenceTimeoutMs` and a newer one owns the cell. */
    private waitUntilReplaced(owner: CellOwnerRecord): Effect.Effect<void> {
        return Effect.gen({ self: this }, function* () {
            for (;;) {
                yield* Effect.sleep(OwnerLookupIntervalMs);
                if (this.options.clock.nowMs() - this.lastUpdateAtMs < OwnerSilenceTimeoutMs) {
                    continue;
                }
                const next = yield* Effect.promise(() => this.options.findOwner());
                if (next !== undefined && next.epoch > owner.epoch) {
                    return;
                }
            }
        });
    }

    private report(stream: CellStream): void {
        const report = this.options.shares.report(this.options.cell, this.options.demand());
        stream.send({ case: "demand", value: report });
    }

    private applyShares(update: ShareUpdateMessage): void {
        const shares = update.shares.map(share => ({ ...share, epoch: update.epoch }));
        this.lastUpdateAtMs = this.options.clock.nowMs();
        this.options.shares.apply({ ...update, shares });
    }

    private handleDisconnect(stream: CellStream): void {
        stream.close();
        this.stream = undefined;
        this.options.onConnectionChange(false);
    }
}
