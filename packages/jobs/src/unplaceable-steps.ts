import type { Step } from "./step.js";

/** What a step that found no worker asked for. */
interface UnplaceableStep {
    readonly service: string;
    readonly image: string;
    readonly filler: boolean;
    readonly processors: number;
    readonly memoryMb: number;
}

/** Steps that found no worker in this plan; steps that ask for as much or more need not be tried. */
export class UnplaceableSteps {
    private readonly steps: UnplaceableStep[] = [];

    private constructor() {}

    static create(): UnplaceableSteps {
        return new UnplaceableSteps();
    }

    /** Ignores steps that are restricted to some workers, since they say nothing about other steps. */
    add({ spec, permits }: Step, service: string): void {
        const isRestricted =
            permits !== undefined ||
            spec.requiredLabel !== undefined ||
            spec.maxPerWorker !== undefined ||
            spec.lasting ||
            spec.sameRack;
        if (!isRestricted) {
            const { processors, memoryMb } = spec.resources;
            this.steps.push({ service, image: spec.image, filler: spec.filler, processors, memoryMb });
        }
    }

    covers({ spec }: Step, service: string): boolean {
        return this.steps.some(
            other =>
                other.service === service &&
                other.filler === spec.filler &&
                (!spec.filler || other.image === spec.image) &&
                !spec.lasting &&
                spec.resources.accelerators === 0 &&
                spec.resources.processors >= other.processors &&
                spec.resources.memoryMb >= other.memoryMb,
        );
    }
}
