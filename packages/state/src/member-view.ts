import type { MemberInfo } from "./member-info.js";
import type { MemberState } from "./member-state.js";

/** A process as this process knows it. */
export interface MemberView extends MemberInfo {
    readonly state: MemberState;
    /** Time since the last news of it in milliseconds; 0 for this process. */
    readonly ageMs: number;
}
