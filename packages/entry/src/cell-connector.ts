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
const LookupIntervalMs = 200;
/** An owner answers each report; without an answer for this time another owner is looked for. */
const SilentMs = 1_500;
const MinReconnectMs = 100;
const MaxReconnectMs = 500;
/** Wait for the owner to read that the shares are given up; without it they expire later. */
const ReleaseTimeoutMs = 300;
const ReleasePollMs = 10;

interface ConnectorOptions {
    readonly cell: string;
    /** Unique for each start of the process. */
    readonly entry: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly shares: ShareRegistry;
    readonly transports: TransportCache;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Newest known owner; asked again before each connection. */
    readonly findOwner: () => Promise<CellOwnerRecord | undefined>;
    /** Requests in use and queued that this process would send to the cell. */
    readonly demand: () => number;
    readonly onConnected: (connected: boolean) => void;
}

/** Keeps one stream to the current owner of a cell: one fiber for each cell. */
export class CellConnector {
    private stream: CellStream | undefined;
    private lastUpdateMs = 0;
    private isReleased = false;

    private constructor(private readonly options: ConnectorOptions) {}

    static create(options: ConnectorOptions): CellConnector {
        return new CellConnector(options);
    }

    /** The stream to the owner while there is one. */
    get current(): CellStream | undefined {
        return this.stream;
    }

    /** Connects, reports, and connects again after each loss until the fiber is interrupted. */
    run(): Effect.Effect<void> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                if (this.isReleased) {
                    yield* Effect.never;
                }
                const owner = yield* Effect.promise(() => this.options.findOwner());
                if (owner === undefined) {
                    yield* Effect.sleep(LookupIntervalMs);
                    return;
                }
                yield* this.serve(owner);
                const spread = this.options.random.next() * (MaxReconnectMs - MinReconnectMs);
                yield* Effect.sleep(MinReconnectMs + spread);
            }),
        );
    }

    /** Gives up all shares for good, so that the owner can grant them to others before they expire. */
    async release(): Promise<void> {
        const { shares, cell, clock } = this.options;
        this.isReleased = true;
        shares.release(cell);
        this.stream?.send({ case: "release", value: {} });
        this.stream?.close();
        const untilMs = clock.nowMs() + ReleaseTimeoutMs;
        while (this.stream !== undefined && clock.nowMs() < untilMs) {
            await sleep(ReleasePollMs);
        }
    }

    private serve(owner: CellOwnerRecord): Effect.Effect<void> {
        return Effect.gen({ self: this }, function* () {
            const { cell, entry, dataCentre, region, shares, transports } = this.options;
            const stream = CellStream.create(update => this.applyShares(update));
            const hello = shares.openStream(cell, owner.epoch);
            stream.send({ case: "hello", value: { entry, dataCentre, region, cell, ...hello } });
            const running = Effect.promise(signal =>
                // A lost stream is the normal end of a connection; the loop connects again.
                stream.run(transports.get(owner.address), signal).catch(() => undefined),
            );
            this.stream = stream;
            this.options.onConnected(true);
            this.lastUpdateMs = this.options.clock.nowMs();
            const loops = Effect.raceFirst(this.reportLoop(stream), this.untilReplaced(owner));
            yield* Effect.raceFirst(running, loops).pipe(
                Effect.ensuring(Effect.sync(() => this.disconnected(stream))),
            );
        });
    }

    private reportLoop(stream: CellStream): Effect.Effect<void> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                yield* Effect.sleep(ReportIntervalMs);
                this.report(stream);
            }),
        );
    }

    /** Ends when the owner has been silent and another one has taken the cell. */
    private untilReplaced(owner: CellOwnerRecord): Effect.Effect<void> {
        return Effect.gen({ self: this }, function* () {
            for (;;) {
                yield* Effect.sleep(LookupIntervalMs);
                if (this.options.clock.nowMs() - this.lastUpdateMs < SilentMs) {
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
        this.lastUpdateMs = this.options.clock.nowMs();
        this.options.shares.apply({ ...update, shares });
    }

    private disconnected(stream: CellStream): void {
        stream.close();
        this.stream = undefined;
        this.options.onConnected(false);
    }
}
