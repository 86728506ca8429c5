import { JsonClient } from "@samphireward/core/json-client";
import { runInBackground } from "@samphireward/core/run-in-background";

const PollIntervalMs = 200;
const HealthTimeoutMs = 500;

/** An entry process behind the balancer. */
interface Backend {
    readonly callers: string;
    readonly client: JsonClient;
    isHealthy: boolean;
}

/**
 * Stand-in for the platform's load balancer: polls the health of each entry process and returns the callers'
 * addresses of the healthy ones in turn. Its view is up to one poll interval old.
 */
export class Balancer {
    private nextIndex = 0;
    private pollTimer: NodeJS.Timeout | undefined;

    private constructor(private readonly backends: readonly Backend[]) {}

    static create(entries: readonly { readonly callers: string; readonly admin: string }[]): Balancer {
        return new Balancer(
            entries.map(({ callers, admin }) => ({
                callers,
                client: JsonClient.create(admin),
                isHealthy: false,
            })),
        );
    }

    start(): void {
        this.pollTimer = setInterval(() => runInBackground("health poll", this.poll()), PollIntervalMs);
    }

    stop(): void {
        clearInterval(this.pollTimer);
        this.backends.forEach(({ client }) => client.close());
    }

    /** Number of entry processes that reported ready at the last poll. */
    get healthyCount(): number {
        return this.backends.filter(backend => backend.isHealthy).length;
    }

    /** Returns the callers' address for the next request, or undefined if no entry process is healthy. */
    pick(): string | undefined {
        const healthy = this.backends.filter(backend => backend.isHealthy);
        this.nextIndex += 1;
        return healthy[this.nextIndex % Math.max(1, healthy.length)]?.callers;
    }

    /** Excludes an entry process that refused a connection, until the next poll. */
    markUnhealthy(address: string): void {
        const backend = this.backends.find(({ callers }) => callers === address);
        if (backend !== undefined) {
            backend.isHealthy = false;
        }
    }

    async poll(): Promise<void> {
        await Promise.all(
            this.backends.map(async backend => {
                backend.isHealthy = await backend.client
                    .call("GET", "/v1/health", { timeoutMs: HealthTimeoutMs })
                    .then(
                        ({ status }) => status === 200,
                        () => false,
                    );
            }),
        );
    }
}
