/** What gave a step its place among the steps of its priority. */
export const StartRule = {
    /** Its job is expected to end in time, or it has been overdue; the latest start in time comes first. */
    InTime: "in-time",
    /** Its job is not expected to end in time; the highest worth for the remaining work comes first. */
    ByWorth: "by-worth",
    /** It has waited for so long that it goes first. */
    Aged: "aged",
    /** Its result would be of no use any more. */
    Hopeless: "hopeless",
} as const;

export type StartRule = (typeof StartRule)[keyof typeof StartRule];
