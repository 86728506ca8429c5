/** Identifies one attempt of a task. */
export interface AttemptRef {
    readonly key: string;
    readonly attempt: number;
}
