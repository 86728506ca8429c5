import type { MemberInfo } from "./member-info.js";
import { MemberState } from "./member-state.js";
import type { MemberView } from "./member-view.js";
import { MembershipLimits } from "./membership-limits.js";

interface TableEntry {
    info: MemberInfo;
    /** Monotonic time of the last update. */
    lastUpdateAtMs: number;
}

const isNewer = (info: MemberInfo, known: MemberInfo): boolean =>
    info.incarnation > known.incarnation ||
    (info.incarnation === known.incarnation && info.heartbeat > known.heartbeat);

/**
 * The other processes by name. Only a higher incarnation, or a higher heartbeat of the same incarnation, counts as an
 * update.
 */
export class MemberTable {
    private readonly rows = new Map<string, TableEntry>();

    private constructor() {}

    static create(): MemberTable {
        return new MemberTable();
    }

    /** Merges a member received from a peer. Returns whether it was an update. */
    merge(info: MemberInfo, nowMs: number): boolean {
        const row = this.rows.get(info.name);
        if (row !== undefined && !isNewer(info, row.info)) {
            return false;
        }
        this.rows.set(info.name, { info, lastUpdateAtMs: nowMs });
        return true;
    }

    /**
     * Merges a registration from the store. The process holds its lease but may be unreachable, so the registration
     * alone makes it suspected, not alive.
     */
    mergeRegistered(info: MemberInfo, nowMs: number): void {
        const updateAtMs = nowMs - MembershipLimits.suspectedAfterMs;
        const row = this.rows.get(info.name);
        if (row === undefined || info.incarnation > row.info.incarnation) {
            this.rows.set(info.name, { info, lastUpdateAtMs: updateAtMs });
        } else if (info.incarnation === row.info.incarnation) {
            row.lastUpdateAtMs = Math.max(row.lastUpdateAtMs, updateAtMs);
        }
    }

    /** Moves all update times forward by a time in which this process was paused and could not receive updates. */
    shiftUpdateTimes(pauseMs: number): void {
        for (const row of this.rows.values()) {
            row.lastUpdateAtMs += pauseMs;
        }
    }

    removeExpired(nowMs: number): void {
        for (const [name, row] of this.rows) {
            if (nowMs - row.lastUpdateAtMs > MembershipLimits.removeAfterMs) {
                this.rows.delete(name);
            }
        }
    }

    views(nowMs: number): MemberView[] {
        return [...this.rows.values()].map(row => {
            const ageMs = nowMs - row.lastUpdateAtMs;
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
