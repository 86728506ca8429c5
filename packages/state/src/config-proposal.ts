/** A change of both tables that an operator proposes. */
export interface ConfigProposal {
    /** Unique for each change; a repeated proposal has the same. */
    readonly changeId: string;
    readonly author: string;
    readonly routes: string;
    readonly pools: string;
}
