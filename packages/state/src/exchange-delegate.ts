import type { ConfigDocument } from "@samphireward/core/config-document";

/** Supplies and receives the other data of an exchange: the configuration and the leaving targets. */
export interface ExchangeDelegate {
    readonly configRevision: () => number;
    /** The applied document, if its revision is higher than the given one. */
    readonly configNewerThan: (revision: number) => ConfigDocument | undefined;
    readonly onConfig: (document: ConfigDocument) => void;
    readonly leavingTargets: () => readonly string[];
    readonly onLeavingTargets: (names: readonly string[]) => void;
    /** Called after each exchange with a peer that either side initiated. */
    readonly onContact: () => void;
}
