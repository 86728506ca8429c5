import type { ConfigChangeInfo } from "./config-change-info.js";
import { ConfigLimits } from "./config-limits.js";

/** Changes of the configuration that this process has seen, by revision. */
export class ConfigHistory {
    private readonly seen = new Map<number, ConfigChangeInfo>();

    private constructor() {}

    static create(): ConfigHistory {
        return new ConfigHistory();
    }

    /** Records changes; the first one seen for a revision stays. */
    add(changes: readonly ConfigChangeInfo[]): void {
        for (const { revision, changeId, author, timeMs } of changes) {
            if (!this.seen.has(revision)) {
                this.seen.set(revision, { revision, changeId, author, timeMs });
            }
        }
        for (const { revision } of this.newestFirst().slice(ConfigLimits.seenHistory)) {
            this.seen.delete(revision);
        }
    }

    /** Revision that a change got, if this process has seen it. */
    revisionOf(changeId: string): number | undefined {
        return [...this.seen.values()].find(change => change.changeId === changeId)?.revision;
    }

    newestFirst(): ConfigChangeInfo[] {
        return [...this.seen.values()].sort((a, b) => b.revision - a.revision);
    }
}
