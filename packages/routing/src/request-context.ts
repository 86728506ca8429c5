import type { IncomingMessage } from "node:http";
import type { Clock } from "@samphireward/core/clock";
import type { Counters } from "@samphireward/core/counters";
import type { RandomSource } from "@samphireward/core/random-source";
import type { ByteBudget } from "./byte-budget.js";
import type { KeyClaimer } from "./key-claimer.js";
import type { LinkRateLimiter } from "./link-rate-limiter.js";
import type { RequestRecord } from "./request-record.js";
import type { RequestSettings } from "./request-settings.js";
import type { ShareRegistry } from "./share-registry.js";
import type { TargetState } from "./target-state.js";

/** Dependencies shared by all requests of an entry process. */
export interface RequestContext {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly settings: RequestSettings;
    readonly shares: ShareRegistry;
    readonly claimer: KeyClaimer;
    readonly counters: Counters;
    readonly bodyBudget: ByteBudget;
    readonly isDraining: () => boolean;
    /** The rate limiters of the link to a target in another region: `out` to the target, `in` from it. */
    readonly linkLimitersFor: (
        target: TargetState,
    ) => { readonly out: LinkRateLimiter; readonly in: LinkRateLimiter } | undefined;
    readonly onOutcome: (record: RequestRecord) => void;
    readonly onUnexpectedError: (err: unknown, req: IncomingMessage) => void;
}
