import { Resources } from "@samphireward/core/resources";
import type { StepSpec } from "./step-spec.js";

/** Resources that one task of a step reserves on its worker. Fillers reserve no processors. */
export const reservationFor = ({ filler, resources }: StepSpec): Resources =>
    Resources.create({ ...resources, processors: filler ? 0 : resources.processors });
