import { CrashEvidence } from "@samphireward/core/crash-evidence";
import type { CrashObservation } from "@samphireward/core/crash-observation";
import { CrashProof } from "./crash-proof.js";
import type { CrashedWorker } from "./crashed-worker.js";
import type { LostWorker } from "./lost-worker.js";
import { unknownAges } from "./unknown-ages.js";

/** The crashes of workers that one task may have caused. */
export class TaskCrashes {
    /** Monotonic time at which a worker had survived the task last; earlier losses don't count any more. */
    clearedAtMs = -Infinity;
    private inherited = CrashEvidence.none;
    /** Losses that this owner has noted, by worker key. */
    private readonly observations = new Map<string, CrashObservation>();
    /** The workers that are known to have crashed, by key, and how that is known. */
    private readonly proven = new Map<string, CrashProof>();
    private all = CrashEvidence.none;
    /** Workers that a previous owner has stored, with their addresses, by key. */
    private readonly stored = new Map<string, LostWorker>();
    /** Addresses of the lost workers, by key. */
    private readonly addresses = new Map<string, string>();

    private constructor() {}

    static create(): TaskCrashes {
        return new TaskCrashes();
    }

    /** All losses, also of workers that may only be cut off. */
    get evidence(): CrashEvidence {
        return this.all;
    }

    /** Only the losses of workers that are known to have crashed. */
    get provenEvidence(): CrashEvidence {
        return this.fold(key => this.proven.has(key));
    }

    /** The workers that are known to have crashed, in the order of their losses; not those that are only counted. */
    get provenWorkers(): readonly CrashedWorker[] {
        return [...this.observations.keys()].flatMap(worker => {
            const proof = this.proven.get(worker);
            return proof === undefined ? [] : [{ worker, proof }];
        });
    }

    /** Sets what a previous owner has stored. */
    inherit(evidence: CrashEvidence): void {
        this.inherited = evidence;
        this.update();
    }

    /** The same, for a number of crashes of which no more is known. */
    inheritCount(count: number): void {
        this.inherit(CrashEvidence.create({ count, ...unknownAges, chance: 1 }));
    }

    /** Sets the workers of which a previous owner did not know whether they had crashed. */
    inheritLostWorkers(workers: readonly LostWorker[]): void {
        workers.forEach(lost => this.stored.set(lost.worker, lost));
    }

    /** Workers that a previous owner has stored and that are not decided about, by key. */
    get storedWorkers(): ReadonlyMap<string, LostWorker> {
        return this.stored;
    }

    forgetStoredWorker(workerKey: string): void {
        this.stored.delete(workerKey);
    }

    /** Workers of which the loss counts for now and that are not known to have crashed. */
    get lostWorkers(): readonly LostWorker[] {
        const unproven = [...this.observations.keys()].filter(key => !this.proven.has(key));
        const noted = unproven.map(worker => ({ worker, address: this.addresses.get(worker) ?? "" }));
        return [...this.stored.values(), ...noted];
    }

    /** Adds the loss of a worker, or replaces what is known of it. */
    add(workerKey: string, address: string, crash: CrashObservation): void {
        this.addresses.set(workerKey, address);
        this.observations.set(workerKey, crash);
        this.update();
    }

    /** Records that a worker of which the loss was added has crashed. */
    prove(workerKey: string, proof: CrashProof = CrashProof.Replaced): void {
        if (this.observations.has(workerKey)) {
            this.proven.set(workerKey, proof);
        }
    }

    /** Takes the loss of a worker back. Returns whether it had been added. */
    remove(workerKey: string): boolean {
        this.proven.delete(workerKey);
        this.addresses.delete(workerKey);
        const isRemoved = this.observations.delete(workerKey);
        this.update();
        return isRemoved;
    }

    /** Ends the suspicion: a worker has survived the task. */
    clear(nowMs: number): void {
        this.clearedAtMs = nowMs;
        this.inherited = CrashEvidence.none;
        this.observations.clear();
        this.addresses.clear();
        this.stored.clear();
        this.proven.clear();
        this.update();
    }

    private update(): void {
        this.all = this.fold(() => true);
    }

    private fold(counts: (workerKey: string) => boolean): CrashEvidence {
        return [...this.observations].reduce(
            (evidence, [key, crash]) => (counts(key) ? evidence.add(crash) : evidence),
            this.inherited,
        );
    }
}
