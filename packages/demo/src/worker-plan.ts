/** Size of a user's fleet of workers. */
export interface WorkerPlan {
    readonly dataCentre: string;
    readonly region: string;
    readonly workers: number;
}
