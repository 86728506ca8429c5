import type { MemberInfo } from "./member-info.js";
import type { MemberState } from "./member-state.js";

/** A process as known to this process. */
export interface MemberView extends MemberInfo {
    readonly state: MemberState;
    /** Time since its last update in milliseconds; 0 for this process. */
    readonly ageMs: number;
}
