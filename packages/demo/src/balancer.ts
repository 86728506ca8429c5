import { JsonClient } from "@samphireward/core/json-client";

const PollMs = 200;
const HealthTimeoutMs = 500;

/** One entry process behind the balancer. */
interface Backend {
    readonly callers: string;
    readonly client: JsonClient;
    healthy: boolean;
}

/**
 * Stand-in for the platform's balancer: polls the health of each entry process and hands out healthy callers'
 * ports in turn. It lags by up to one poll.
 */
export class Balancer {
    private next = 0;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly backends: readonly Backend[]) {}

    static create(entries: readonly { readonly callers: string; readonly admin: string }[]): Balancer {
        return new Balancer(
            entries.map(({ callers, admin }) => ({
                callers,
                client: JsonClient.create(admin),
                healthy: false,
            })),
        );
    }

    start(): void {
        this.timer = setInterval(() => void this.poll(), PollMs);
    }

    stop(): void {
        clearInterval(this.timer);
        this.backends.forEach(({ client }) => client.close());
    }

    /** Number of entry processes that answered as ready at the last poll. */
    get healthyCount(): number {
        return this.backends.filter(backend => backend.healthy).length;
    }

    /** The callers' address for the next request. */
    pick(): string | undefined {
        const healthy = this.backends.filter(backend => backend.healthy);
        this.next += 1;
        return healthy[this.next % Math.max(1, healthy.length)]?.callers;
    }

    /** Notes that a connection was refused, until the next poll. */
    markDown(address: string): void {
        const backend = this.backends.find(({ callers }) => callers === address);
        if (backend !== undefined) {
            backend.healthy = false;
        }
    }

    async poll(): Promise<void> {
        await Promise.all(
            this.backends.map(async backend => {
                backend.healthy = await backend.client
                    .call("GET", "/v1/health", { timeoutMs: HealthTimeoutMs })
                    .then(
                        ({ status }) => status === 200,
                        () => false,
                    );
            }),
        );
    }
}
