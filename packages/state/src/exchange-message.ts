import type { ConfigDocument } from "@samphireward/core/config-document";
import type { MemberInfo } from "./member-info.js";

/** Request or response of a membership exchange between two processes. */
export interface ExchangeMessage {
    readonly self: MemberInfo;
    /**
     * Other processes that the sender considers alive, and the successor of a receiver that was replaced; at most 32.
     */
    readonly members: readonly MemberInfo[];
    /** Names of the targets that the sender knows to be leaving. */
    readonly leavingTargets: readonly string[];
    /** Only in a response, when the sender's document is newer than the receiver's. */
    readonly config?: ConfigDocument;
}
