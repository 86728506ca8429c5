/** A data centre, its region and its number of cells. */
export interface Zone {
    readonly dataCentre: string;
    readonly region: string;
    /** Number of cells that the data centre is divided into. */
    readonly cells: number;
}
