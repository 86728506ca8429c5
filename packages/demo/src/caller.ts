import { Agent, request } from "node:http";
import { parseAddress } from "@samphireward/core/parse-address";
import type { Balancer } from "./balancer.js";
import type { CallerResult } from "./caller-result.js";

const TimeoutMs = 6_000;

/** One request of a caller. */
interface CallerRequest {
    readonly id: string;
    readonly path: string;
    readonly idempotent: boolean;
    readonly customer: string;
    /** Expected length of the answer, which starts with the id. */
    readonly bytes: number;
}

/** Sends callers' requests through the balancer and checks each answer. */
export class Caller {
    private readonly agent = new Agent({ keepAlive: true });

    private constructor(private readonly balancer: Balancer) {}

    static create(balancer: Balancer): Caller {
        return new Caller(balancer);
    }

    /** Sends one request. The balancer passes it to another entry process only while nothing was sent. */
    async call(req: CallerRequest): Promise<CallerResult> {
        const startMs = performance.now();
        for (;;) {
            const address = this.balancer.pick();
            if (address === undefined) {
                return this.failed(req, "", startMs, false);
            }
            const result = await this.send(req, address, startMs);
            if (result.sent || result.code !== 0) {
                return result;
            }
            this.balancer.markDown(address);
        }
    }

    close(): void {
        this.agent.destroy();
    }

    private send(call: CallerRequest, address: string, startMs: number): Promise<CallerResult> {
        const headers = { "samphireward-request-id": call.id, "samphireward-customer": call.customer };
        return new Promise(resolve => {
            let sent = false;
            const signal = AbortSignal.timeout(TimeoutMs);
            const options = { ...parseAddress(address), path: call.path, headers, agent: this.agent, signal };
            const req = request(options, res => {
                const chunks: Buffer[] = [];
                res.on("data", (chunk: Buffer) => chunks.push(chunk));
                res.on("error", () => resolve(this.failed(call, address, startMs, true)));
                res.on("end", () => {
                    const body = Buffer.concat(chunks).toString("utf8");
                    const code = Number(res.headers["samphireward-code"] ?? 0);
                    const whole = body === call.id.padEnd(call.bytes, ".");
                    const latencyMs = performance.now() - startMs;
                    const { id, idempotent } = call;
                    resolve({ id, idempotent, code, whole, sent: true, latencyMs, entry: address, startMs });
                });
            });
            req.on("socket", socket => {
                sent = !socket.connecting;
                if (socket.connecting) {
                    socket.once("connect", () => (sent = true));
                }
            });
            req.on("error", () => resolve(this.failed(call, address, startMs, sent)));
            req.end();
        });
    }

    private failed(
        { id, idempotent }: CallerRequest,
        entry: string,
        startMs: number,
        sent: boolean,
    ): CallerResult {
        const latencyMs = performance.now() - startMs;
        return { id, idempotent, code: 0, whole: false, sent, latencyMs, entry, startMs };
    }
}
