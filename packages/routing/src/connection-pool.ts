import { connect } from "node:net";
import type { Clock } from "@samphireward/core/clock";
import type { RequestSettings } from "./request-settings.js";
import { TargetConnection } from "./target-connection.js";
import type { WorkerShare } from "./worker-share.js";

type OnConnection = (connection: TargetConnection | undefined) => void;

/** The connections to one target: at most as many as the share allows, each used by one request at a time. */
export class ConnectionPool {
    /** Ordered by last use, the most recent last. */
    private readonly idle: TargetConnection[] = [];
    private readonly openConnections = new Set<TargetConnection>();
    private isRetired = false;

    private constructor(
        private readonly share: WorkerShare,
        private readonly clock: Clock,
        private readonly settings: RequestSettings,
    ) {}

    static create(share: WorkerShare, clock: Clock, settings: RequestSettings): ConnectionPool {
        return new ConnectionPool(share, clock, settings);
    }

    get idleCount(): number {
        return this.idle.length;
    }

    /**
     * Calls back with an idle connection that received bytes at or after `validSinceMs`, or with a new one; with
     * `undefined` when none can be opened. Calls back synchronously when an idle connection qualifies.
     */
    acquire(validSinceMs: number, onConnection: OnConnection): void {
        const connection = this.idle.at(-1);
        if (connection !== undefined && connection.lastByteAtMs >= validSinceMs) {
            this.idle.pop();
            connection.markBusy();
            onConnection(connection);
            return;
        }
        this.openConnection(onConnection);
    }

    /** Opens a new connection, closing the least recently used idle one if the limit is reached. */
    openConnection(onConnection: OnConnection): void {
        if (!this.share.tryOpenConnection(this.clock.nowMs())) {
            this.idle[0]?.destroy();
            if (!this.share.tryOpenConnection(this.clock.nowMs())) {
                onConnection(undefined);
                return;
            }
        }
        this.connectSocket(onConnection);
    }

    /** Closes idle connections that have received nothing since `timeMs`. */
    closeSilentSince(timeMs: number): void {
        this.idle.filter(connection => !connection.hasReceivedSince(timeMs)).forEach(each => each.destroy());
    }

    /**
     * Closes idle connections that exceed the share or have been silent for `idleMs`, and all idle ones once the
     * share has expired or the target is leaving.
     */
    trim(nowMs: number): void {
        this.closeSilentSince(nowMs - this.settings.idleMs);
        const isExpired = nowMs >= this.share.expiresAtMs || this.share.leaving;
        while (this.idle.length > 0 && (isExpired || this.share.connectionsOpen > this.share.connections)) {
            this.idle[0]?.destroy();
        }
    }

    /** Closes idle connections now and each busy one when its response is complete. */
    retire(): void {
        this.isRetired = true;
        [...this.idle].forEach(connection => connection.destroy());
    }

    private connectSocket(onConnection: OnConnection): void {
        const { serviceAddress } = this.share;
        const colon = serviceAddress.lastIndexOf(":");
        const host = serviceAddress.slice(0, colon).replace(/^\[|\]$/g, "");
        const port = Number(serviceAddress.slice(colon + 1));
        const socket = connect({ host, port, noDelay: true });
        const fail = (): void => {
            clearTimeout(timer);
            socket.destroy();
            this.share.closeConnection();
            onConnection(undefined);
        };
        const timer = setTimeout(fail, this.settings.connectTimeoutMs);
        socket.once("error", fail);
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.removeListener("error", fail);
            const connection = TargetConnection.create(socket, () => this.clock.nowMs(), {
                onFree: freed => this.release(freed),
                onClosed: closed => this.remove(closed),
            });
            this.openConnections.add(connection);
            connection.markBusy();
            onConnection(connection);
        });
    }

    /** Returns a connection without a request in progress to the pool, or closes it if it exceeds the share. */
    release(connection: TargetConnection): void {
        if (this.isRetired || this.share.connectionsOpen > this.share.connections) {
            connection.destroy();
            return;
        }
        connection.markIdle();
        this.idle.push(connection);
    }

    private remove(connection: TargetConnection): void {
        this.openConnections.delete(connection);
        this.share.closeConnection();
        const index = this.idle.indexOf(connection);
        if (index >= 0) {
            this.idle.splice(index, 1);
        }
    }
}
