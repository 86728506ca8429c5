/** One problem in a settings file or table: where it is and what is expected there. */
export interface TableProblem {
    /** `routes`, `pools`, or the path of a settings file. */
    readonly file: string;
    /** Dotted key, such as `routes.proof-render.pool`; empty for the whole file. */
    readonly key: string;
    readonly message: string;
}
