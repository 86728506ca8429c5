import * as Schema from "effect/Schema";
import * as SchemaParser from "effect/SchemaParser";
import { JsonClient } from "./json-client.js";
import { Resources } from "./resources.js";
import { WorkerInfoSchema } from "./worker-info-schema.js";
import type { WorkerInfo } from "./worker-info.js";

const VmListResponseSchema = Schema.Struct({ vms: Schema.Array(WorkerInfoSchema) });
const decode = SchemaParser.decodeUnknownResult(VmListResponseSchema);

const ListTimeoutMs = 2_000;

/**
 * Workers of the platform's list of live and leaving VMs, as last read. The list lags behind the platform, and the
 * last one is kept while the VM directory cannot be reached. A worker once marked as leaving stays marked until it is
 * listed with another address.
 */
export class VmList {
    private readonly workers = new Map<string, WorkerInfo>();
    private cachedWorkers: readonly WorkerInfo[] | undefined;
    /** ETag of the last list, so that an unchanged list, otherwise most of the control traffic, is not sent again. */
    private etag: string | undefined;

    private constructor(private readonly client: JsonClient) {}

    static create(directoryAddress: string): VmList {
        return new VmList(JsonClient.create(directoryAddress));
    }

    /** Reads the list from the VM directory. Returns whether the read succeeded. */
    async refresh(): Promise<boolean> {
        try {
            const { status, body, etag } = await this.client.call("GET", "/v1/vms", {
                timeoutMs: ListTimeoutMs,
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

    /** All listed workers. Returns the same array until one of them changes. */
    all(): readonly WorkerInfo[] {
        this.cachedWorkers ??= [...this.workers.values()];
        return this.cachedWorkers;
    }

    get(name: string): WorkerInfo | undefined {
        return this.workers.get(name);
    }

    /** Marks a worker as leaving, as reported by another source than the list. */
    markLeaving(name: string): void {
        const worker = this.workers.get(name);
        if (worker !== undefined && !worker.leaving) {
            this.workers.set(name, { ...worker, leaving: true });
            this.cachedWorkers = undefined;
        }
    }

    close(): void {
        this.client.close();
    }

    private replace(listed: readonly WorkerInfo[]): void {
        const previous = new Map(this.workers);
        this.workers.clear();
        this.cachedWorkers = undefined;
        for (const worker of listed) {
            const previousInfo = previous.get(worker.name);
            const isSameAddress = previousInfo?.taskAddress === worker.taskAddress;
            this.workers.set(worker.name, {
                ...worker,
                leaving: worker.leaving || (isSameAddress && previousInfo.leaving),
            });
        }
    }
}
