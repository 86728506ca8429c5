/** Value of a cell's log key: the owner's epoch and the sequence number of its last commit. */
export interface LogRecord {
    readonly epoch: number;
    readonly sequence: number;
}
