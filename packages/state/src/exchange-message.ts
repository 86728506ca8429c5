import type { ConfigDocument } from "@samphireward/core/config-document";
import type { MemberInfo } from "./member-info.js";

/** What two processes tell each other in an exchange. */
export interface ExchangeMessage {
    readonly self: MemberInfo;
    /** Others that the sender considers alive, at most 32. */
    readonly members: readonly MemberInfo[];
    /** Targets that the sender has seen leaving. */
    readonly leavingTargets: readonly string[];
    /** Only in an answer, when the sender's document is newer than the receiver's. */
    readonly config?: ConfigDocument;
}
