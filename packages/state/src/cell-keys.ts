/** Names of the store keys of one cell. */
export class CellKeys {
    private constructor(private readonly prefix: string) {}

    /** `cell` is the name of the cell, such as `herning-a/0`. */
    static create(cell: string): CellKeys {
        return new CellKeys(`cell/${cell}`);
    }

    get owner(): string {
        return `${this.prefix}/owner`;
    }

    /** Key of the highest epoch that any process has claimed; never deleted. */
    get epoch(): string {
        return `${this.prefix}/epoch`;
    }

    get logPrefix(): string {
        return `${this.prefix}/log/`;
    }

    slot(index: number): string {
        return `${this.logPrefix}${index}`;
    }

    get snapshot(): string {
        return `${this.prefix}/snapshot`;
    }

    get snapshotPartPrefix(): string {
        return `${this.snapshot}/`;
    }
}
