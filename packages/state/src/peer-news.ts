import type { ConfigDocument } from "@samphireward/core/config-document";

/** What travels with the exchanges besides the members; the process binds it to its configuration and targets. */
export interface PeerNews {
    readonly configRevision: () => number;
    /** The applied document when its revision is higher than the given one. */
    readonly configAfter: (revision: number) => ConfigDocument | undefined;
    readonly onConfig: (document: ConfigDocument) => void;
    readonly leavingTargets: () => readonly string[];
    readonly onLeavingTargets: (names: readonly string[]) => void;
    /** Called after each exchange with a peer, in either direction. */
    readonly onContact: () => void;
}
