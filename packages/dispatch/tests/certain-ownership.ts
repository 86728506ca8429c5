import type { Clock } from "@samphireward/core/clock";
import type { OwnershipProof } from "../src/ownership-proof.js";

/** The proof of an owner that knows at each moment that no other process has taken over. */
export const certainOwnership = (clock: Clock): Pick<OwnershipProof, "provenAtMs"> => ({
    get provenAtMs() {
        return clock.nowMs();
    },
});
