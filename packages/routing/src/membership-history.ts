import { rendezvousPick } from "@samphireward/core/rendezvous-pick";

interface MemberList {
    readonly sinceMs: number;
    readonly members: readonly string[];
}

/**
 * The lists of entry processes that this process has read from the store, newest last. A gap of `listTtlMs` or
 * more between two reads clears the history.
 */
export class MembershipHistory {
    private lists: MemberList[] = [];
    private lastReadAtMs = -Infinity;

    private constructor(private readonly listTtlMs: number) {}

    static create(listTtlMs: number): MembershipHistory {
        return new MembershipHistory(listTtlMs);
    }

    /** Adds a list. `sentAtMs` is when the read was sent: the list was valid at that time or later. */
    observe(members: readonly string[], sentAtMs: number, nowMs: number, retentionMs: number): void {
        if (!this.isValid(nowMs)) {
            this.lists = [];
        }
        this.lastReadAtMs = Math.max(this.lastReadAtMs, sentAtMs);
        const sorted = [...members].sort();
        if (this.lists.at(-1)?.members.join(" ") !== sorted.join(" ")) {
            this.lists.push({ sinceMs: nowMs, members: sorted });
        }
        // A list is needed until its successor has been in effect for `retentionMs`.
        this.lists = this.lists.filter((_, index) => {
            const next = this.lists[index + 1];
            return next === undefined || nowMs - next.sinceMs < retentionMs;
        });
    }

    isValid(nowMs: number): boolean {
        return nowMs - this.lastReadAtMs < this.listTtlMs;
    }

    /** Whether `self` owned the key in every list that was in effect during the last `durationMs`. */
    hasOwnedFor(self: string, key: string, durationMs: number, nowMs: number): boolean {
        const first = this.lists[0];
        if (!this.isValid(nowMs) || first === undefined || nowMs - first.sinceMs < durationMs) {
            return false;
        }
        return this.lists.every((list, index) => {
            const next = this.lists[index + 1];
            const isOld = next !== undefined && nowMs - next.sinceMs >= durationMs;
            return isOld || rendezvousPick(key, list.members) === self;
        });
    }
}
