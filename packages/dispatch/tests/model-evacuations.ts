import { EvacuationSource } from "../src/evacuation-source.js";
import type { MetadataStore } from "../src/metadata-store.js";
import { readPrefix } from "../src/read-prefix.js";
import { sleep } from "../src/sleep.js";

const Prefix = "evacuate/";
const ReadIntervalMs = 500;

/** Reads the requests from a store of the model again and again, since that has no watches. */
export class ModelEvacuations extends EvacuationSource {
    private constructor(
        private readonly store: MetadataStore,
        /** Deliberate defect: the first call reports no request, whatever the store has, and no call follows. */
        private readonly isDefective: boolean,
    ) {
        super();
    }

    static create(store: MetadataStore, isDefective: boolean): ModelEvacuations {
        return new ModelEvacuations(store, isDefective);
    }

    static keyOf(dataCentre: string): string {
        return `${Prefix}${dataCentre}`;
    }

    override async run(
        signal: AbortSignal,
        onChange: (dataCentres: ReadonlySet<string>) => void,
    ): Promise<void> {
        if (this.isDefective) {
            onChange(new Set());
            return;
        }
        while (!signal.aborted) {
            const all = await readPrefix(this.store, Prefix);
            if (all.isOk() && !signal.aborted) {
                onChange(new Set(all.value.items.map(({ key }) => key.slice(Prefix.length))));
            }
            await sleep(ReadIntervalMs, signal);
        }
    }
}
