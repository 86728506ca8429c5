import type { PermitResponse } from "./permit-response.js";

/** The service that decides on which workers a step may run. */
export abstract class PermitSource {
    /** Undefined without an answer, or when the service has too much to do; it may be asked again. Never rejects. */
    abstract request(step: string, workers: readonly string[]): Promise<PermitResponse | undefined>;
}
