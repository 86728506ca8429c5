import type { Step } from "./step.js";

/** A step whose tasks found no worker. */
interface UnplaceableStep {
    readonly service: string;
    readonly image: string;
    readonly filler: boolean;
    readonly processors: number;
    readonly memoryMb: number;
}

/** Steps that found no worker in this plan: others that ask for as much or more need not be tried. */
export class UnplaceableSteps {
    private readonly found: UnplaceableStep[] = [];

    private constructor() {}

    static create(): UnplaceableSteps {
        return new UnplaceableSteps();
    }

    /** Steps that may only run on some workers tell nothing of others and are left out. */
    add({ spec, permits }: Step, service: string): void {
        const isBound =
            permits !== undefined ||
            spec.requiredLabel !== undefined ||
            spec.maxPerWorker !== undefined ||
            spec.lasting ||
            spec.sameRack;
        if (!isBound) {
            const { processors, memoryMb } = spec.resources;
            this.found.push({ service, image: spec.image, filler: spec.filler, processors, memoryMb });
        }
    }

    covers({ spec }: Step, service: string): boolean {
        return this.found.some(
            misfit =>
                misfit.service === service &&
                misfit.filler === spec.filler &&
                (!spec.filler || misfit.image === spec.image) &&
                !spec.lasting &&
                spec.resources.accelerators === 0 &&
                spec.resources.processors >= misfit.processors &&
                spec.resources.memoryMb >= misfit.memoryMb,
        );
    }
}
