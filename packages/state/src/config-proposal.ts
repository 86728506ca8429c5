/** New contents of both tables, proposed by an operator. */
export interface ConfigProposal {
    /** Unique for each change; the same when the proposal is repeated. */
    readonly changeId: string;
    readonly author: string;
    readonly routes: string;
    readonly pools: string;
}
