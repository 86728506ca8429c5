/** Source of the operators' requests to evacuate data centres. */
export abstract class EvacuationSource {
    /**
     * Watches the requests until the signal aborts. Calls `onChange` with all data centres that are to be evacuated, once
     * they have been read and after each change; a request that ends is missing in the next call.
     */
    abstract run(signal: AbortSignal, onChange: (dataCentres: ReadonlySet<string>) => void): Promise<void>;
}
