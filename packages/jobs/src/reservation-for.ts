import { Resources } from "@samphireward/core/resources";
import type { StepSpec } from "./step-spec.js";

/** What one task of a step holds of a worker's capacity: the processors of fillers are not reserved. */
export const reservationFor = ({ filler, resources }: StepSpec): Resources =>
    Resources.create({ ...resources, processors: filler ? 0 : resources.processors });
