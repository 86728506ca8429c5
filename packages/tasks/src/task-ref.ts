/** One attempt of a task. */
export interface TaskRef {
    readonly key: string;
    readonly attempt: number;
}
