/** A data centre of a user and its number of workers. */
export interface DataCentrePlan {
    readonly name: string;
    readonly region: string;
    readonly workerCount: number;
}
