import type { RandomSource } from "@samphireward/core/random-source";
import type { CandidateIndexSettings } from "./candidate-index-settings.js";
import { hasRoom } from "./has-room.js";
import type { IndexBucket } from "./index-bucket.js";
import type { PlacementRequest } from "./placement-request.js";
import type { WorkerView } from "./worker-view.js";

const defaults: CandidateIndexSettings = { sampleSize: 16, maxScanned: 128 };

/** Ranges for each doubling of the free amount. */
const RangesPerDoubling = 2;

const rangeIndex = (free: number): number =>
    free < 1 ? (free > 0 ? 0 : -1) : 1 + Math.floor(Math.log2(free) * RangesPerDoubling);

/** Lower end of a range, rounded down so that rounding errors never promise too much. */
const rangeLowerBound = (range: number): number =>
    range <= 0 ? 0 : 2 ** ((range - 1) / RangesPerDoubling) * (1 - 1e-9);

/** Where an indexed worker is. */
interface BucketPosition {
    readonly bucket: IndexBucket;
    position: number;
}

/**
 * Open workers in buckets by free processors and memory, so that a decision does not look at all of them.
 * `update` and `remove` cost O(1). `candidates` costs O(non-empty buckets + sample + scan); the number of
 * buckets depends on the largest worker, not on how many there are.
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

    /** Adds a worker or replaces its view. A closed worker is left out. */
    update(view: WorkerView): void {
        const bucket = view.open ? this.bucketFor(view) : undefined;
        const place = this.positions.get(view.name);
        if (place !== undefined && place.bucket === bucket) {
            place.bucket.members[place.position] = view;
            return;
        }
        this.remove(view.name);
        if (bucket !== undefined) {
            this.positions.set(view.name, { bucket, position: bucket.members.length });
            bucket.members.push(view);
        }
    }

    remove(name: string): void {
        const place = this.positions.get(name);
        const last = place?.bucket.members.pop();
        if (place === undefined || last === undefined) {
            return;
        }
        this.positions.delete(name);
        const lastPlace = this.positions.get(last.name);
        if (lastPlace !== undefined) {
            place.bucket.members[place.position] = last;
            lastPlace.position = place.position;
        }
    }

    /**
     * A random sample of the workers that have room. Empty only if none of the sampled and scanned workers has
     * room: exact for up to `scan` workers, otherwise repeated calls continue the scan where the last one ended.
     */
    candidates(request: PlacementRequest): readonly WorkerView[] {
        const found = new Map<string, WorkerView>();
        const [roomy, uncertain] = this.selectBuckets(request);
        this.sampleFrom(roomy, request, found);
        if (found.size < this.settings.sampleSize) {
            this.scan(uncertain, request, found);
        }
        return [...found.values()];
    }

    /** Buckets whose members all have room, and those where each member has to be checked. */
    private selectBuckets(request: PlacementRequest): [roomy: IndexBucket[], uncertain: IndexBucket[]] {
        const { processors, memoryMb, accelerators } = request.resources;
        const roomy: IndexBucket[] = [];
        const uncertain: IndexBucket[] = [];
        const processorRange = rangeLowerBound(rangeIndex(processors));
        const memoryRange = rangeLowerBound(rangeIndex(memoryMb));
        for (const bucket of this.buckets.values()) {
            const isTooSmall =
                bucket.minFreeProcessors < processorRange || bucket.minFreeMemoryMb < memoryRange;
            if (bucket.members.length === 0 || isTooSmall || (accelerators > 0 && !bucket.hasAccelerators)) {
                continue;
            }
            const isRoomy =
                bucket.minFreeProcessors >= processors &&
                bucket.minFreeMemoryMb >= memoryMb &&
                accelerators === 0;
            // Workers with free accelerators are left to tasks that need one, as long as others have room.
            const isPreferred = isRoomy && !bucket.hasAccelerators;
            (isPreferred ? roomy : uncertain).push(bucket);
        }
        return [roomy, uncertain];
    }

    private sampleFrom(
        buckets: readonly IndexBucket[],
        request: PlacementRequest,
        found: Map<string, WorkerView>,
    ): void {
        const count = buckets.reduce((sum, bucket) => sum + bucket.members.length, 0);
        const { sampleSize: sample } = this.settings;
        // With few members, drawing at random would mostly repeat them.
        const draws = count <= 2 * sample ? count : 2 * sample;
        for (let draw = 0; draw < draws && found.size < sample; draw++) {
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
    let rest = position;
    for (const bucket of buckets) {
        if (rest < bucket.members.length) {
            return bucket.members[rest];
        }
        rest -= bucket.members.length;
    }
    return undefined;
};
