import type { Resources } from "@samphireward/core/resources";

/** Formats resources as human-readable text, such as `4 cores, 8000 MB, 1 accelerators`. */
export const formatResources = (
    resources: Pick<Resources, "processors" | "memoryMb" | "accelerators">,
): string =>
    `${resources.processors} cores, ${resources.memoryMb} MB, ${resources.accelerators} accelerators`;
