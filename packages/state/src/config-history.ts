import type { ConfigChangeInfo } from "./config-change-info.js";
import { ConfigLimits } from "./config-limits.js";

/** Configuration changes known to this process, by revision. */
export class ConfigHistory {
    private readonly changesByRevision = new Map<number, ConfigChangeInfo>();

    private constructor() {}

    static create(): ConfigHistory {
        return new ConfigHistory();
    }

    /** Records changes; the first one recorded for a revision is kept. */
    add(changes: readonly ConfigChangeInfo[]): void {
        for (const { revision, changeId, author, timeMs } of changes) {
            if (!this.changesByRevision.has(revision)) {
                this.changesByRevision.set(revision, { revision, changeId, author, timeMs });
            }
        }
        for (const { revision } of this.newestFirst().slice(ConfigLimits.maxRememberedChanges)) {
            this.changesByRevision.delete(revision);
        }
    }

    /** Revision of a change; `undefined` when the change is not known. */
    revisionOf(changeId: string): number | undefined {
        return [...this.changesByRevision.values()].find(change => change.changeId === changeId)?.revision;
    }

    newestFirst(): ConfigChangeInfo[] {
        return [...this.changesByRevision.values()].sort((a, b) => b.revision - a.revision);
    }
}
