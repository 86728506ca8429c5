import { Resources } from "@samphireward/core/resources";
import type { JobProgress } from "@samphireward/jobs/job-progress";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { StepSpec } from "@samphireward/jobs/step-spec";
import { isObject } from "./is-object.js";
import { parseFields } from "./parse-fields.js";

/** Version of the stored format; values of other versions are not decoded. */
const FormatVersion = 1;

const parseVersioned = (text: string): Readonly<Record<string, unknown>> => {
    const fields = parseFields(text);
    return fields["v"] === FormatVersion ? fields : {};
};

const isStepSpec = (value: unknown): value is StepSpec =>
    isObject(value) &&
    typeof value["count"] === "number" &&
    Array.isArray(value["after"]) &&
    isObject(value["resources"]);

const isJobSpec = (value: unknown): value is JobSpec =>
    isObject(value) &&
    typeof value["id"] === "string" &&
    typeof value["queue"] === "string" &&
    typeof value["arrivedAtMs"] === "number" &&
    Array.isArray(value["steps"]) &&
    value["steps"].every(isStepSpec);

const isOccurrence = (value: unknown): boolean =>
    isObject(value) &&
    typeof value["number"] === "number" &&
    Array.isArray(value["steps"]) &&
    value["steps"].every(isObject);

const isJobProgress = (value: unknown): value is JobProgress =>
    isObject(value) &&
    typeof value["nextOccurrence"] === "number" &&
    Array.isArray(value["open"]) &&
    value["open"].every(isOccurrence);

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

    encodeProgress: (progress: JobProgress): string => JSON.stringify({ v: FormatVersion, progress }),

    decodeProgress: (text: string): JobProgress | undefined => {
        const { progress } = parseVersioned(text);
        return isJobProgress(progress) ? progress : undefined;
    },
} as const;
