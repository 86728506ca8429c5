import * as Schema from "effect/Schema";
import * as SchemaParser from "effect/SchemaParser";
import { JsonClient } from "./json-client.js";
import { Resources } from "./resources.js";
import { WorkerInfoSchema } from "./worker-info-schema.js";
import type { WorkerInfo } from "./worker-info.js";

const AnswerSchema = Schema.Struct({ vms: Schema.Array(WorkerInfoSchema) });
const decode = SchemaParser.decodeUnknownResult(AnswerSchema);

const TimeoutMs = 2_000;

/**
 * The platform's list of live and leaving VMs, as last read. The list lags, and the last one is kept while the
 * directory cannot be reached. A worker once seen as leaving stays so until it is listed at another address.
 */
export class VmList {
    private readonly workers = new Map<string, WorkerInfo>();
    private listed: readonly WorkerInfo[] | undefined;
    /** Tag of the last list; an unchanged list is not sent again, which is most of the control traffic otherwise. */
    private etag: string | undefined;

    private constructor(private readonly client: JsonClient) {}

    static create(directoryAddress: string): VmList {
        return new VmList(JsonClient.create(directoryAddress));
    }

    /** Reads the list. Returns whether it could be read. */
    async refresh(): Promise<boolean> {
        try {
            const { status, body, etag } = await this.client.call("GET", "/v1/vms", {
                timeoutMs: TimeoutMs,
                ...(this.etag === undefined ? {} : { headers: { "if-none-match": this.etag } }),
            });
            if (status === 304) {
                return true;
            }
            const decoded = decode(body);
            if (status !== 200 || decoded._tag === "Failure") {
                return false;
            }
            this.etag = etag;
            const listed = decoded.success.vms.filter(vm => vm.role === "worker");
            this.replace(listed.map(vm => ({ ...vm, capacity: Resources.create(vm.capacity) })));
            return true;
        } catch {
            return false;
        }
    }

    /** All listed workers. The same array until one of them changes. */
    all(): readonly WorkerInfo[] {
        this.listed ??= [...this.workers.values()];
        return this.listed;
    }

    get(name: string): WorkerInfo | undefined {
        return this.workers.get(name);
    }

    /** Notes that a worker is leaving, from another source than the list. */
    markLeaving(name: string): void {
        const worker = this.workers.get(name);
        if (worker !== undefined && !worker.leaving) {
            this.workers.set(name, { ...worker, leaving: true });
            this.listed = undefined;
        }
    }

    close(): void {
        this.client.close();
    }

    private replace(listed: readonly WorkerInfo[]): void {
        const previous = new Map(this.workers);
        this.workers.clear();
        this.listed = undefined;
        for (const worker of listed) {
            const before = previous.get(worker.name);
            const same = before?.taskAddress === worker.taskAddress;
            this.workers.set(worker.name, { ...worker, leaving: worker.leaving || (same && before.leaving) });
        }
    }
}
