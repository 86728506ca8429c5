/** Fields of `Resources`, for object literals. */
interface ResourceFields {
    readonly processors: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** Processors (cores, fractions allowed), memory (MiB) and accelerators (whole devices). Immutable. */
export class Resources implements ResourceFields {
    static readonly none = new Resources(0, 0, 0);

    private constructor(
        readonly processors: number,
        readonly memoryMb: number,
        readonly accelerators: number,
    ) {}

    static create(fields: Partial<ResourceFields>): Resources {
        return new Resources(fields.processors ?? 0, fields.memoryMb ?? 0, fields.accelerators ?? 0);
    }

    plus(other: ResourceFields): Resources {
        return new Resources(
            this.processors + other.processors,
            this.memoryMb + other.memoryMb,
            this.accelerators + other.accelerators,
        );
    }

    minus(other: ResourceFields): Resources {
        return new Resources(
            this.processors - other.processors,
            this.memoryMb - other.memoryMb,
            this.accelerators - other.accelerators,
        );
    }

    scale(factor: number): Resources {
        return new Resources(this.processors * factor, this.memoryMb * factor, this.accelerators * factor);
    }

    /** Whether the sums of these resources and `other` fit in `limit`; as `plus` and `fitsIn`, without a new object. */
    fitsBeside(other: ResourceFields, limit: ResourceFields): boolean {
        return (
            other.processors + this.processors <= limit.processors &&
            other.memoryMb + this.memoryMb <= limit.memoryMb &&
            other.accelerators + this.accelerators <= limit.accelerators
        );
    }

    /** Whether each of the three resources is at most that of `limit`. */
    fitsIn(limit: ResourceFields): boolean {
        return (
            this.processors <= limit.processors &&
            this.memoryMb <= limit.memoryMb &&
            this.accelerators <= limit.accelerators
        );
    }
}
