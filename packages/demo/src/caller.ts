import { Agent, request } from "node:http";
import { parseAddress } from "@samphireward/core/parse-address";
import type { Balancer } from "./balancer.js";
import type { CallerResult } from "./caller-result.js";

const RequestTimeoutMs = 6_000;

/** A request of a caller. */
interface CallerRequest {
    readonly id: string;
    readonly path: string;
    readonly idempotent: boolean;
    readonly customer: string;
    /** Expected length of the response body, which starts with the id. */
    readonly bytes: number;
}

/** Sends callers' requests through the balancer and checks each response. */
export class Caller {
    private readonly agent = new Agent({ keepAlive: true });

    private constructor(private readonly balancer: Balancer) {}

    static create(balancer: Balancer): Caller {
        return new Caller(balancer);
    }

    /** Sends one request. Tries another entry process only while nothing was sent. */
    async call(req: CallerRequest): Promise<CallerResult> {
        const startMs = performance.now();
        for (;;) {
            const address = this.balancer.pick();
            if (address === undefined) {
                return this.failedResult(req, "", startMs, false);
            }
            const result = await this.send(req, address, startMs);
            if (result.wasSent || result.code !== 0) {
                return result;
            }
            this.balancer.markUnhealthy(address);
        }
    }

    close(): void {
        this.agent.destroy();
    }

    private send(call: CallerRequest, address: string, startMs: number): Promise<CallerResult> {
        const headers = { "samphireward-request-id": call.id, "samphireward-customer": call.customer };
        return new Promise(resolve => {
            let wasSent = false;
            const signal = AbortSignal.timeout(RequestTimeoutMs);
            const options = { ...parseAddress(address), path: call.path, headers, agent: this.agent, signal };
            const req = request(options, res => {
                const chunks: Buffer[] = [];
                res.on("data", (chunk: Buffer) => chunks.push(chunk));
                res.on("error", () => resolve(this.failedResult(call, address, startMs, true)));
                res.on("end", () => {
                    const body = Buffer.concat(chunks).toString("utf8");
                    const code = Number(res.headers["samphireward-code"] ?? 0);
                    const hasExpectedBody = body === call.id.padEnd(call.bytes, ".");
                    const latencyMs = performance.now() - startMs;
                    const { id, idempotent } = call;
                    resolve({
                        id,
                        idempotent,
                        code,
                        hasExpectedBody,
                        wasSent: true,
                        latencyMs,
                        entry: address,
                        startMs,
                    });
                });
            });
            req.on("socket", socket => {
                wasSent = !socket.connecting;
                if (socket.connecting) {
                    socket.once("connect", () => (wasSent = true));
                }
            });
            req.on("error", () => resolve(this.failedResult(call, address, startMs, wasSent)));
            req.end();
        });
    }

    private failedResult(
        { id, idempotent }: CallerRequest,
        entry: string,
        startMs: number,
        wasSent: boolean,
    ): CallerResult {
        const latencyMs = performance.now() - startMs;
        return { id, idempotent, code: 0, hasExpectedBody: false, wasSent, latencyMs, entry, startMs };
    }
}
