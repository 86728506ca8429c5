import { formatResources } from "./format-resources.js";
import { formatTime } from "./format-time.js";
import type { ExplanationResponse } from "./responses/explanation-response.js";

const MsPerSecond = 1_000;

const describeTimes = (response: ExplanationResponse): string[] => {
    const { expectedStartMs, expectedTaskEndMs, expectedJobEndMs } = response;
    const start = expectedStartMs === undefined ? "cannot be foreseen" : formatTime(expectedStartMs);
    // Lasting tasks have no end, and a task of the product's own path belongs to no job.
    return [
        `expected start: ${start}`,
        ...(expectedTaskEndMs === undefined
            ? []
            : [`expected end of the task: ${formatTime(expectedTaskEndMs)}`]),
        ...(expectedJobEndMs === undefined
            ? []
            : [`expected end of the job: ${formatTime(expectedJobEndMs)}`]),
    ];
};

const describeAhead = ({ ahead }: ExplanationResponse): string[] => {
    const { steps, tasks, processorMs, waitingSteps, startableSteps, isPartial } = ahead;
    const work = `${tasks} tasks, ${(processorMs / MsPerSecond).toFixed(1)} processor-seconds`;
    return [
        `rank: ${steps + 1} of ${waitingSteps + 1} steps that wait${isPartial ? " (looked at in part)" : ""}`,
        `ahead: ${work}`,
        ...(startableSteps === 0
            ? []
            : [`${startableSteps} steps ahead can start now as well, and may take the worker`]),
    ];
};

const describeWorkers = ({ workers }: ExplanationResponse): string[] => [
    `workers: ${workers.suitable} of ${workers.total} can take a task now${workers.isPartial ? " (looked at in part)" : ""}`,
    ...workers.excluded.map(({ reason, count }) => `  ${count} ruled out: ${reason}`),
];

/** Formats where work would be placed, and why, as text. */
export const formatExplanation = (response: ExplanationResponse): string => {
    const { job, cell, outcome, reason, queue, step, worker } = response;
    const rule = Object.entries(queue).map(([name, value]) => `${name} ${value}`);
    return [
        `${job} (cell ${cell}): ${outcome}${worker === undefined ? "" : ` on ${worker.id}`}`,
        ...(reason === undefined ? [] : [`reason: ${reason}`]),
        `queue: ${rule.join(", ")}`,
        ...(step === undefined
            ? []
            : [`step ${step.number}: ${step.count} tasks of ${formatResources(step.reserves)}`]),
        ...describeAhead(response),
        ...describeWorkers(response),
        ...(worker === undefined
            ? []
            : [
                  [
                      `worker: ${worker.id}`,
                      ...(worker.zone === undefined ? [] : [`data centre ${worker.zone}`]),
                      `rack ${worker.rack}`,
                      `${worker.freeProcessors} cores free`,
                  ].join(", "),
              ]),
        ...describeTimes(response),
    ].join("\n");
};
