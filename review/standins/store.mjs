import { createJsonServer, listenOn, sleep } from "./http.mjs";

const AnswerMs = 4;
const PageItems = 500;
const MaxEntries = 32;
const LeaseCheckMs = 20;
const HistoryMs = 20_000;

/**
 * The platform's store: items with revisions, transactions, watches with a history of 20 s, and leases that run from
 * the arrival of a call. It loses nothing that it has acknowledged, and its answers are linearizable.
 */
export class StoreStandin {
    address = "";
    revision = 1;
    items = new Map();
    leases = new Map();
    history = [];
    compactedRevision = 0;
    nextLease = 70_001;
    waiters = new Set();

    static async create() {
        const store = new StoreStandin();
        store.server = createJsonServer(async call => {
            await sleep(AnswerMs);
            return store.handle(call);
        });
        store.address = await listenOn(store.server, "127.0.0.1");
        store.timer = setInterval(() => store.tick(), LeaseCheckMs);
        return store;
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes as the operator or a worker does. */
    put(key, value) {
        this.revision++;
        this.write(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
        this.notify();
    }

    remove(key) {
        this.revision++;
        this.drop(key);
        this.notify();
    }

    /** Decoded value of a key; undefined if there is none. */
    read(key) {
        const item = this.items.get(key);
        return item === undefined
            ? undefined
            : JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
    }

    write(key, value, lease) {
        const created = this.items.get(key)?.created ?? this.revision;
        const item = { key, value, revision: this.revision, created, lease };
        this.items.set(key, item);
        this.history.push({ atMs: performance.now(), event: item });
    }

    drop(key) {
        if (this.items.delete(key)) {
            const event = { key, revision: this.revision, deleted: true };
            this.history.push({ atMs: performance.now(), event });
        }
    }

    notify() {
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(wake => wake());
    }

    tick() {
        const nowMs = performance.now();
        for (const [id, lease] of this.leases) {
            if (nowMs > lease.endsAtMs) {
                this.endLease(id);
            }
        }
        while (this.history.length > 0 && nowMs - this.history[0].atMs > HistoryMs) {
            this.compactedRevision = this.history.shift().event.revision;
        }
    }

    endLease(id) {
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            this.revision++;
            keys.forEach(key => this.drop(key));
            this.notify();
        }
    }

    handle({ method, url, body, isClosed }) {
        const path = url.pathname.replace("/samphireward/", "");
        const [call, id] = path.split("/");
        switch (`${method} ${call}`) {
            case "GET kv-key":
                return this.get(url.searchParams.get("key"));
            case "GET kv-range":
                return this.range(url.searchParams);
            case "GET kv-watch":
                return this.watch(url.searchParams, isClosed);
            case "POST kv-txn":
                return this.transact(body);
            case "POST kv-lease":
                return this.grant(body);
            case "POST kv-keep":
                return this.keep(Number(id));
            case "DELETE kv-lease-end":
                this.endLease(Number(id));
                return { status: 200, body: {} };
            default:
                return { status: 404, body: {} };
        }
    }

    get(key) {
        const item = this.items.get(key);
        return item === undefined
            ? { status: 404, body: { at_revision: this.revision } }
            : { status: 200, body: { ...item, at_revision: this.revision } };
    }

    range(query) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const items = keys.slice(0, PageItems).map(key => this.items.get(key));
        const body = { items, has_more: keys.length > PageItems, at_revision: this.revision };
        return { status: 200, body };
    }

    async watch(query, isClosed) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const untilMs = performance.now() + Number(query.get("wait_ms"));
        for (;;) {
            if (after < this.compactedRevision) {
                return { status: 410, body: {} };
            }
            const events = this.history
                .map(({ event }) => event)
                .filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            const leftMs = untilMs - performance.now();
            if (events.length > 0 || leftMs <= 0 || isClosed()) {
                return { status: 200, body: { events, at_revision: this.revision } };
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, leftMs);
                this.waiters.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }

    transact({ expected = [], writes = [], remove = [] }) {
        if (expected.length + writes.length + remove.length > MaxEntries) {
            return { status: 400, body: {} };
        }
        if ([...writes.map(({ key }) => key), ...remove].some(key => /^(op|servers)\//.test(key))) {
            return { status: 403, body: {} };
        }
        if (writes.some(({ lease }) => lease && !this.leases.has(lease))) {
            return { status: 404, body: {} };
        }
        const isAsExpected = expected.every(
            ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
        );
        if (!isAsExpected) {
            const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
            return { status: 412, body: { items } };
        }
        if (writes.length + remove.length > 0) {
            this.revision++;
            writes.forEach(({ key, value, lease }) => this.write(key, value, lease ?? 0));
            remove.forEach(key => this.drop(key));
            this.notify();
        }
        return { status: 200, body: { revision: this.revision } };
    }

    grant({ lifetime_ms: lifetimeMs }) {
        const lease = this.nextLease++;
        this.leases.set(lease, { lifetimeMs, endsAtMs: performance.now() + lifetimeMs });
        return { status: 200, body: { lease, lifetime_ms: lifetimeMs } };
    }

    keep(id) {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return { status: 404, body: {} };
        }
        lease.endsAtMs = performance.now() + lease.lifetimeMs;
        return { status: 200, body: { lifetime_ms: lease.lifetimeMs } };
    }
}
