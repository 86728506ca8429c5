import type { MemberInfo } from "./member-info.js";
import { MemberState } from "./member-state.js";
import type { MemberView } from "./member-view.js";
import { MembershipLimits } from "./membership-limits.js";

interface Row {
    info: MemberInfo;
    /** Monotonic time of the last news. */
    newsMs: number;
}

const isNewer = (info: MemberInfo, known: MemberInfo): boolean =>
    info.incarnation > known.incarnation ||
    (info.incarnation === known.incarnation && info.heartbeat > known.heartbeat);

/** The other processes by name. Only a higher incarnation or a higher heartbeat of the same one is news. */
export class MemberTable {
    private readonly rows = new Map<string, Row>();

    private constructor() {}

    static create(): MemberTable {
        return new MemberTable();
    }

    /** Merges what a peer tells. Returns whether it was news. */
    merge(info: MemberInfo, nowMs: number): boolean {
        const row = this.rows.get(info.name);
        if (row !== undefined && !isNewer(info, row.info)) {
            return false;
        }
        this.rows.set(info.name, { info, newsMs: nowMs });
        return true;
    }

    /** Merges a registration in the store: its process lives, but may not be reachable, so it is at best suspected. */
    mergeRegistered(info: MemberInfo, nowMs: number): void {
        const newsMs = nowMs - MembershipLimits.suspectedAfterMs;
        const row = this.rows.get(info.name);
        if (row === undefined || info.incarnation > row.info.incarnation) {
            this.rows.set(info.name, { info, newsMs });
        } else if (info.incarnation === row.info.incarnation) {
            row.newsMs = Math.max(row.newsMs, newsMs);
        }
    }

    /** Moves all news forward by a time in which this process did not run and could not receive any. */
    excuse(pauseMs: number): void {
        for (const row of this.rows.values()) {
            row.newsMs += pauseMs;
        }
    }

    forgetOld(nowMs: number): void {
        for (const [name, row] of this.rows) {
            if (nowMs - row.newsMs > MembershipLimits.forgetAfterMs) {
                this.rows.delete(name);
            }
        }
    }

    views(nowMs: number): MemberView[] {
        return [...this.rows.values()].map(row => {
            const ageMs = nowMs - row.newsMs;
            return { ...row.info, ageMs, state: MemberTable.stateAt(ageMs) };
        });
    }

    private static stateAt(ageMs: number): MemberState {
        if (ageMs >= MembershipLimits.goneAfterMs) {
            return MemberState.Gone;
        }
        return ageMs >= MembershipLimits.suspectedAfterMs ? MemberState.Suspected : MemberState.Alive;
    }
}
