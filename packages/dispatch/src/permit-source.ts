import type { PermitResponse } from "./permit-response.js";

/** The service that decides on which workers a step may run. */
export abstract class PermitSource {
    /**
     * Resolves to undefined if the service does not respond or is overloaded; the request may be repeated. Never
     * rejects.
     */
    abstract request(step: string, workers: readonly string[]): Promise<PermitResponse | undefined>;
}
