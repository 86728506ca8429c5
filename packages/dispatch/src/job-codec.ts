import { Resources } from "@samphireward/core/resources";
import type { JobFailure } from "@samphireward/jobs/job-failure";
import type { JobProgress } from "@samphireward/jobs/job-progress";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import { JobState } from "@samphireward/jobs/job-state";
import type { StepSpec } from "@samphireward/jobs/step-spec";
import { isObject } from "./is-object.js";
import type { JobTombstone } from "./job-tombstone.js";
import { parseFields } from "./parse-fields.js";

/** Version of the stored format; values of other versions are not decoded. */
const FormatVersion = 1;
/** Longer texts are those of jobs, which are not parsed to find out whether they are tombstones. */
const MaxTombstoneLength = 100;

const parseVersioned = (text: string): Readonly<Record<string, unknown>> => {
    const fields = parseFields(text);
    return fields["v"] === FormatVersion ? fields : {};
};

type Check = (value: unknown) => boolean;

const isNumber: Check = value => typeof value === "number";
const isString: Check = value => typeof value === "string";
const isBoolean: Check = value => typeof value === "boolean";
const isNaturalNumber: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isListOf =
    (check: Check): Check =>
    value =>
        Array.isArray(value) && value.every(check);
/** Properties that are undefined are not stored. */
const optional =
    (check: Check): Check =>
    value =>
        value === undefined || check(value);
/** Checks the named properties of an object; others may be those of a newer build. */
const hasFields =
    (checks: Readonly<Record<string, Check>>): Check =>
    value =>
        isObject(value) && Object.entries(checks).every(([name, check]) => check(value[name]));

const isStepSpec = hasFields({
    count: isNumber,
    resources: hasFields({ processors: isNumber, memoryMb: isNumber, accelerators: isNumber }),
    estimatedMs: isNumber,
    after: isListOf(isNumber),
    checkpoints: optional(isBoolean),
    gang: optional(isBoolean),
    sameRack: optional(isBoolean),
    requiredLabel: optional(isString),
    preferredRack: optional(isString),
    maxPerWorker: optional(isNumber),
    speculative: optional(isBoolean),
    lasting: optional(isBoolean),
    image: optional(isString),
    tailTargetMs: optional(isNumber),
    filler: optional(isBoolean),
    maxUnavailable: optional(isNumber),
});

const isJobSpecValue = hasFields({
    id: isString,
    queue: isString,
    payload: isString,
    arrivedAtMs: isNumber,
    schedule: optional(hasFields({ occurrences: isNumber, firstAtMs: isNumber, intervalMs: isNumber })),
    steps: isListOf(isStepSpec),
});
const isJobSpec = (value: unknown): value is JobSpec => isJobSpecValue(value);

const isMark = hasFields({
    index: isNaturalNumber,
    failedRuns: isListOf(isNumber),
    lastRun: isNumber,
    checkpoint: isString,
});

const endStates: ReadonlySet<unknown> = new Set([JobState.Completed, JobState.Failed, JobState.Cancelled]);

/** Any text passes as a cause or proof: a newer build may have others. */
const isJobFailureValue = hasFields({
    cause: isString,
    task: isString,
    failedRuns: optional(isNumber),
    limit: optional(isNumber),
    configVersion: optional(isNumber),
    crashedWorkers: optional(isListOf(hasFields({ worker: isString, proof: isString }))),
    inheritedCrashes: optional(isNumber),
});
const isJobFailure = (value: unknown): value is JobFailure => isJobFailureValue(value);

const isJobProgressValue = hasFields({
    endState: optional(value => endStates.has(value)),
    failure: optional(isJobFailure),
    endedAtMs: isNumber,
    hasStarted: isBoolean,
    isStartConfirmed: optional(isBoolean),
    nextOccurrence: isNaturalNumber,
    open: isListOf(
        hasFields({
            number: isNaturalNumber,
            steps: isListOf(hasFields({ doneBits: isString, marks: isListOf(isMark) })),
        }),
    ),
});
const isJobProgress = (value: unknown): value is JobProgress => isJobProgressValue(value);

const restoreStep = (step: StepSpec): StepSpec => ({ ...step, resources: Resources.create(step.resources) });

/**
 * Encodes and decodes the stored form of jobs and their progress. Only this system writes these values; any other value
 * decodes to undefined.
 */
export const jobCodec = {
    encodeJob: (spec: JobSpec): string => JSON.stringify({ v: FormatVersion, spec }),

    decodeJob: (text: string): JobSpec | undefined => {
        const { spec } = parseVersioned(text);
        return isJobSpec(spec) ? { ...spec, steps: spec.steps.map(restoreStep) } : undefined;
    },

    encodeTombstone: ({ cancelledAtMs }: JobTombstone): string =>
        JSON.stringify({ v: FormatVersion, cancelledAtMs }),

    /** Decodes the tombstone that is stored in place of a job; undefined if the text is that of a job. */
    decodeTombstone: (text: string): JobTombstone | undefined => {
        const { cancelledAtMs } = text.length > MaxTombstoneLength ? {} : parseVersioned(text);
        return Number.isFinite(cancelledAtMs) ? { cancelledAtMs: cancelledAtMs as number } : undefined;
    },

    encodeProgress: (progress: JobProgress): string => JSON.stringify({ v: FormatVersion, progress }),

    /** Checks the failure in the answer of another process. */
    decodeFailure: (value: unknown): JobFailure | undefined => (isJobFailure(value) ? value : undefined),

    decodeProgress: (text: string): JobProgress | undefined => {
        const { progress } = parseVersioned(text);
        return isJobProgress(progress) ? progress : undefined;
    },
} as const;
