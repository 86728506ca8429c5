import type { RandomSource } from "@samphireward/core/random-source";
import type { CandidateIndexSettings } from "./candidate-index-settings.js";
import { hasRoom } from "./has-room.js";
import type { IndexBucket } from "./index-bucket.js";
import type { PlacementRequest } from "./placement-request.js";
import type { WorkerView } from "./worker-view.js";

const defaults: CandidateIndexSettings = { sampleSize: 16, maxScanned: 128 };

/** Ranges of the free amount for each doubling. */
const RangesPerDoubling = 2;

const rangeIndex = (free: number): number =>
    free < 1 ? (free > 0 ? 0 : -1) : 1 + Math.floor(Math.log2(free) * RangesPerDoubling);

/** Lower bound of a range, rounded down so that rounding errors never overstate the free amount. */
const rangeLowerBound = (range: number): number =>
    range <= 0 ? 0 : 2 ** ((range - 1) / RangesPerDoubling) * (1 - 1e-9);

/** Position of an indexed worker. */
interface BucketPosition {
    readonly bucket: IndexBucket;
    position: number;
}

/**
 * Index of the open workers by free processors and memory, so that a decision need not check all of them. `update`
 * and `remove` cost O(1). `candidates` costs O(buckets + sampleSize + maxScanned); the number of buckets depends on
 * the size of the largest worker, not on the number of workers.
 */
export class CandidateIndex {
    private readonly buckets = new Map<string, IndexBucket>();
    private readonly positions = new Map<string, BucketPosition>();
    private scanStart = 0;

    private constructor(
        private readonly random: RandomSource,
        private readonly settings: CandidateIndexSettings,
    ) {}

    static create(random: RandomSource, settings: Partial<CandidateIndexSettings> = {}): CandidateIndex {
        return new CandidateIndex(random, { ...defaults, ...settings });
    }

    get size(): number {
        return this.positions.size;
    }

    /** Adds a worker or replaces its view. A worker that is not open is removed. */
    update(view: WorkerView): void {
        const bucket = view.open ? this.bucketFor(view) : undefined;
        const entry = this.positions.get(view.name);
        if (entry !== undefined && entry.bucket === bucket) {
            entry.bucket.members[entry.position] = view;
            return;
        }
        this.remove(view.name);
        if (bucket !== undefined) {
            this.positions.set(view.name, { bucket, position: bucket.members.length });
            bucket.members.push(view);
        }
    }

    remove(name: string): void {
        const entry = this.positions.get(name);
        const last = entry?.bucket.members.pop();
        if (entry === undefined || last === undefined) {
            return;
        }
        this.positions.delete(name);
        const lastEntry = this.positions.get(last.name);
        if (lastEntry !== undefined) {
            entry.bucket.members[entry.position] = last;
            lastEntry.position = entry.position;
        }
    }

    /**
     * A random sample of the workers with room for the task. With up to `maxScanned` workers, the result is empty
     * only if no worker has room. With more, it may miss some; the next call continues the scan where this one ends.
     */
    candidates(request: PlacementRequest): readonly WorkerView[] {
        const found = new Map<string, WorkerView>();
        const [fitting, uncertain] = this.selectBuckets(request);
        this.sampleFrom(fitting, request, found);
        if (found.size < this.settings.sampleSize) {
            this.scan(uncertain, request, found);
        }
        return [...found.values()];
    }

    /** Buckets whose members all have room, and buckets whose members must be checked one by one. */
    private selectBuckets(request: PlacementRequest): [fitting: IndexBucket[], uncertain: IndexBucket[]] {
        const { processors, memoryMb, accelerators } = request.resources;
        const fitting: IndexBucket[] = [];
        const uncertain: IndexBucket[] = [];
        const minProcessors = rangeLowerBound(rangeIndex(processors));
        const minMemoryMb = rangeLowerBound(rangeIndex(memoryMb));
        for (const bucket of this.buckets.values()) {
            const isTooSmall =
                bucket.minFreeProcessors < minProcessors || bucket.minFreeMemoryMb < minMemoryMb;
            if (bucket.members.length === 0 || isTooSmall || (accelerators > 0 && !bucket.hasAccelerators)) {
                continue;
            }
            const isFitting =
                bucket.minFreeProcessors >= processors &&
                bucket.minFreeMemoryMb >= memoryMb &&
                accelerators === 0;
            // Workers with free accelerators are kept for tasks that need one, as long as others have room.
            const isPreferred = isFitting && !bucket.hasAccelerators;
            (isPreferred ? fitting : uncertain).push(bucket);
        }
        return [fitting, uncertain];
    }

    private sampleFrom(
        buckets: readonly IndexBucket[],
        request: PlacementRequest,
        found: Map<string, WorkerView>,
    ): void {
        const count = buckets.reduce((sum, bucket) => sum + bucket.members.length, 0);
        const { sampleSize } = this.settings;
        // With few members, random draws would mostly return duplicates.
        const draws = count <= 2 * sampleSize ? count : 2 * sampleSize;
        for (let draw = 0; draw < draws && found.size < sampleSize; draw++) {
            const position = draws === count ? draw : this.random.below(count);
            const worker = memberAt(buckets, position);
            if (worker !== undefined && hasRoom(worker, request)) {
                found.set(worker.name, worker);
            }
        }
    }

    private scan(
        buckets: readonly IndexBucket[],
        request: PlacementRequest,
        found: Map<string, WorkerView>,
    ): void {
        const count = buckets.reduce((sum, bucket) => sum + bucket.members.length, 0);
        const steps = Math.min(count, this.settings.maxScanned);
        for (let step = 0; step < steps && found.size < this.settings.sampleSize; step++) {
            this.scanStart = (this.scanStart + 1) % count;
            const worker = memberAt(buckets, this.scanStart);
            if (worker !== undefined && hasRoom(worker, request)) {
                found.set(worker.name, worker);
            }
        }
    }

    private bucketFor(view: WorkerView): IndexBucket | undefined {
        const { capacity, reserved } = view;
        const processors = rangeIndex(capacity.processors - reserved.processors);
        const memoryMb = rangeIndex(capacity.memoryMb - reserved.memoryMb);
        const hasAccelerators = capacity.accelerators > reserved.accelerators;
        const name = `${processors},${memoryMb},${hasAccelerators}`;
        let bucket = this.buckets.get(name);
        if (bucket === undefined) {
            bucket = {
                minFreeProcessors: rangeLowerBound(processors),
                minFreeMemoryMb: rangeLowerBound(memoryMb),
                hasAccelerators,
                members: [],
            };
            this.buckets.set(name, bucket);
        }
        return bucket;
    }
}

const memberAt = (buckets: readonly IndexBucket[], position: number): WorkerView | undefined => {
    let remaining = position;
    for (const bucket of buckets) {
        if (remaining < bucket.members.length) {
            return bucket.members[remaining];
        }
        remaining -= bucket.members.length;
    }
    return undefined;
};
