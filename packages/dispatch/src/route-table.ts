import type { OperatorConfig } from "./operator-config.js";
import type { Route } from "./route.js";

/** Finds the route of a request: the host's route with the longest prefix. */
export class RouteTable {
    private byHost: ReadonlyMap<string, readonly Route[]> = new Map();
    private current: OperatorConfig | undefined;

    private constructor() {}

    static create(): RouteTable {
        return new RouteTable();
    }

    get config(): OperatorConfig | undefined {
        return this.current;
    }

    /** Applies a configuration. Returns false, and ignores it, unless its version is newer than the current one. */
    apply(config: OperatorConfig): boolean {
        if (this.current !== undefined && config.version <= this.current.version) {
            return false;
        }
        this.current = config;
        const byHost = new Map<string, Route[]>();
        for (const route of config.routes) {
            byHost.set(route.host, [...(byHost.get(route.host) ?? []), route]);
        }
        byHost.forEach(routes => routes.sort((a, b) => b.prefix.length - a.prefix.length));
        this.byHost = byHost;
        return true;
    }

    find(host: string, path: string): Route | undefined {
        return this.byHost.get(host)?.find(route => path.startsWith(route.prefix));
    }
}
