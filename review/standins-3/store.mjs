// A stand-in for the platform's metadata store, written from "The platform's metadata store" in PROTOCOL.md.
import { createServer } from "node:http";

const PageItems = 500;
const HistoryMs = 20_000;
const ExpiryCheckMs = 20;

const readBody = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
};

export class Store {
    constructor() {
        this.revision = 1;
        this.items = new Map();
        this.history = [];
        this.oldestRevision = 1;
        this.leases = new Map();
        this.nextLease = 1;
        this.watchers = new Set();
        this.servers = [];
        /** Disruption of a process's calls, by its name; called with the call, returns "serve", "silent" or "busy". */
        this.disrupt = () => "serve";
        this.timer = setInterval(() => this.expire(), ExpiryCheckMs);
    }

    /** Listens on a port of its own for each process, so that its calls can be told from those of the others. */
    listenFor(node) {
        return new Promise(resolve => {
            const server = createServer((req, res) => {
                this.handle(node, req, res).catch(() => res.destroy());
            });
            this.servers.push(server);
            server.keepAliveTimeout = 60_000;
            server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`));
        });
    }

    close() {
        clearInterval(this.timer);
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    /** Writes an entry of the operator or of a worker. */
    put(key, value) {
        this.apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }], []);
    }

    remove(key) {
        this.apply([], [key]);
    }

    apply(writes, removed) {
        const present = removed.filter(key => this.items.has(key));
        if (writes.length === 0 && present.length === 0) {
            return this.revision;
        }
        const revision = ++this.revision;
        const atMs = Date.now();
        for (const { key, value, lease = 0 } of writes) {
            const created = this.items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease };
            this.items.set(key, item);
            this.history.push({ atMs, event: item });
        }
        for (const key of present) {
            this.items.delete(key);
            this.history.push({ atMs, event: { key, revision, deleted: true } });
        }
        while (this.history.length > 0 && this.history[0].atMs < atMs - HistoryMs) {
            this.oldestRevision = this.history.shift().event.revision;
        }
        this.watchers.forEach(wake => wake());
        return revision;
    }

    expire() {
        const nowMs = performance.now();
        for (const [lease, { endsAtMs }] of [...this.leases]) {
            if (nowMs >= endsAtMs) {
                this.endLease(lease);
            }
        }
    }

    endLease(lease) {
        this.leases.delete(lease);
        const keys = [...this.items.values()].filter(item => item.lease === lease).map(item => item.key);
        this.apply([], keys);
    }

    async handle(node, req, res) {
        const url = new URL(req.url, "http://store");
        const body = await readBody(req);
        const action = this.disrupt(node, url.pathname, body);
        if (action === "silent") {
            return;
        }
        if (action === "busy") {
            this.send(res, 503, {});
            return;
        }
        const { status, body: answer } = await this.answer(req.method, url, body, res);
        if (this.disrupt(node, url.pathname, body) !== "silent") {
            this.send(res, status, answer);
        }
    }

    send(res, status, body) {
        const text = JSON.stringify(body);
        res.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
        });
        res.end(text);
    }

    async answer(method, url, body, res) {
        const query = url.searchParams;
        const [, , call, id] = url.pathname.split("/");
        switch (call) {
            case "kv-key": {
                const item = this.items.get(query.get("key"));
                return item === undefined
                    ? { status: 404, body: { at_revision: this.revision } }
                    : { status: 200, body: { ...item, at_revision: this.revision } };
            }
            case "kv-range":
                return this.range(query.get("prefix") ?? "", query.get("after") ?? "");
            case "kv-watch":
                return this.watch(query, res);
            case "kv-txn":
                return this.transact(body);
            case "kv-lease": {
                const lease = this.nextLease++;
                const lifetimeMs = Math.min(600_000, Math.max(1_000, body.lifetime_ms));
                this.leases.set(lease, { lifetimeMs, endsAtMs: performance.now() + lifetimeMs });
                return { status: 200, body: { lease, lifetime_ms: lifetimeMs } };
            }
            case "kv-keep": {
                this.expire();
                const lease = this.leases.get(Number(id));
                if (lease === undefined) {
                    return { status: 404, body: {} };
                }
                lease.endsAtMs = performance.now() + lease.lifetimeMs;
                return { status: 200, body: { lifetime_ms: lease.lifetimeMs } };
            }
            case "kv-lease-end":
                this.endLease(Number(id));
                return { status: 200, body: {} };
            default:
                return { status: 404, body: {} };
        }
    }

    range(prefix, after) {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = keys.slice(0, PageItems).map(key => this.items.get(key));
        return {
            status: 200,
            body: { items, has_more: keys.length > items.length, at_revision: this.revision },
        };
    }

    async watch(query, res) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const untilMs = performance.now() + Math.min(30_000, Number(query.get("wait_ms")));
        if (after < this.oldestRevision - 1) {
            return { status: 410, body: {} };
        }
        for (;;) {
            const events = this.history
                .map(({ event }) => event)
                .filter(event => event.revision > after && event.key.startsWith(prefix));
            const leftMs = untilMs - performance.now();
            if (events.length > 0 || leftMs <= 0 || res.destroyed) {
                return { status: 200, body: { events, at_revision: this.revision } };
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.watchers.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, leftMs);
                this.watchers.add(wake);
            });
        }
    }

    transact({ expected = [], writes = [], remove = [] }) {
        this.expire();
        const isMet = expected.every(
            ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
        );
        if (!isMet) {
            const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
            return { status: 412, body: { items, at_revision: this.revision } };
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
            return { status: 404, body: {} };
        }
        if (writes.some(({ key }) => key.startsWith("op/") || key.startsWith("servers/"))) {
            return { status: 403, body: {} };
        }
        return { status: 200, body: { revision: this.apply(writes, remove) } };
    }
}
