/** Position of a task: its job, occurrence, step and index within the step. */
export interface TaskName {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}
