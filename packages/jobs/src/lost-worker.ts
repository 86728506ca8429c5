/** A worker that was lost under a task and of which it is not known yet whether it has crashed. */
export interface LostWorker {
    /** Key of the incarnation, `id/start time`. */
    readonly worker: string;
    /** Its address, at which its replacement may register under another id. */
    readonly address: string;
}
