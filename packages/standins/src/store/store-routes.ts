import type { StoreTable } from "@samphireward/state/testing/store-table";
import type { StoreError } from "@samphireward/state/store-error";
import { StoreErrorKind } from "@samphireward/state/store-error-kind";
import type { WatchResult } from "@samphireward/state/watch-result";
import type { Result } from "ts-results-es";
import type { StoreReply } from "./store-reply.js";

const MaxWatchWaitMs = 60_000;

const httpStatusByErrorKind = {
    conflict: 409,
    "not-applied": 413,
    "may-be-applied": 500,
    "lease-lost": 410,
} as const;

const valueBytes = (result: WatchResult): number =>
    result.entries.reduce((sum, entry) => sum + Buffer.byteLength(entry.value), 0);

const reply = (kind: string, status: number, body: object, bytes = 0): StoreReply => ({
    kind,
    status,
    body,
    bytes,
});

const replyTo = (kind: string, result: Result<object, StoreError>, bytes = 0): StoreReply => {
    if (result.isOk()) {
        return reply(kind, 200, result.value, bytes);
    }
    const { kind: errorKind, message, current } = result.error;
    const body = errorKind === StoreErrorKind.Conflict ? { current } : { message };
    return reply(kind, httpStatusByErrorKind[errorKind], body);
};

/** Handles the calls of the store protocol (docs/PLATFORM.md) on a table. */
export class StoreRoutes {
    private constructor(private readonly table: StoreTable) {}

    static create(table: StoreTable): StoreRoutes {
        return new StoreRoutes(table);
    }

    async serve(method: string, url: URL, body: Record<string, unknown>): Promise<StoreReply> {
        const path = url.pathname;
        if (path.startsWith("/v1/kv/")) {
            return this.serveKey(method, path.slice("/v1/kv/".length), url, body);
        }
        if (path.startsWith("/v1/leases")) {
            return this.serveLease(method, path, body);
        }
        if (path === "/v1/list") {
            const result = this.table.list(url.searchParams.get("prefix") ?? "");
            return reply("list", 200, result, valueBytes(result));
        }
        if (path === "/v1/watch") {
            return this.watch(url);
        }
        return reply("unknown", 404, {});
    }

    private serveKey(method: string, key: string, url: URL, body: Record<string, unknown>): StoreReply {
        switch (method) {
            case "GET": {
                const entry = this.table.get(key);
                const bytes = Buffer.byteLength(entry?.value ?? "");
                return entry === undefined ? reply("read", 404, {}) : reply("read", 200, entry, bytes);
            }
            case "PUT": {
                const { value, ifRevision, leaseId } = body;
                if (typeof value !== "string" || typeof ifRevision !== "number") {
                    return reply("write", 400, { message: "value and ifRevision are required" });
                }
                const lease = typeof leaseId === "string" ? leaseId : undefined;
                const result = this.table.put(key, value, ifRevision, lease);
                return replyTo(
                    "write",
                    result.map(revision => ({ revision })),
                    Buffer.byteLength(value),
                );
            }
            case "DELETE": {
                const ifRevision = Number(url.searchParams.get("ifRevision"));
                return replyTo(
                    "write",
                    this.table.delete(key, ifRevision).map(() => ({})),
                );
            }
            default:
                return reply("unknown", 405, {});
        }
    }

    private serveLease(method: string, path: string, body: Record<string, unknown>): StoreReply {
        const match = /^\/v1\/leases(?:\/([a-z0-9-]+)(\/renew)?)?$/.exec(path);
        const leaseId = match?.[1];
        if (method === "POST" && path === "/v1/leases") {
            const ttlMs = Number(body["ttlMs"]);
            return ttlMs > 0
                ? reply("lease", 200, { leaseId: this.table.grantLease(ttlMs) })
                : reply("lease", 400, { message: "ttlMs is required" });
        }
        if (leaseId === undefined) {
            return reply("unknown", 404, {});
        }
        const isRenewal = method === "POST" && match?.[2] !== undefined;
        const result = isRenewal ? this.table.renewLease(leaseId) : this.table.revokeLease(leaseId);
        return result.isOk() ? reply("lease", 200, {}) : reply("lease", 404, {});
    }

    private async watch(url: URL): Promise<StoreReply> {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after") ?? 0);
        const waitMs = Math.min(MaxWatchWaitMs, Number(url.searchParams.get("waitMs") ?? 0));
        const result = await this.waitForChanges(prefix, after, waitMs);
        return reply("watch", 200, result, valueBytes(result));
    }

    private waitForChanges(prefix: string, after: number, waitMs: number): Promise<WatchResult> {
        return new Promise(resolve => {
            const finish = (result: WatchResult): void => {
                clearTimeout(timer);
                stop();
                resolve(result);
            };
            const check = (): void => {
                const result = this.table.changes(prefix, after);
                if (result.entries.length + result.deleted.length > 0) {
                    finish(result);
                }
            };
            const timer = setTimeout(() => finish(this.table.changes(prefix, after)), waitMs);
            const stop = this.table.onChange(check);
            check();
        });
    }
}
