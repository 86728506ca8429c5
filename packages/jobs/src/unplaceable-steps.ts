import type { Resources } from "@samphireward/core/resources";
import type { Step } from "./step.js";

/** What a step that found no worker asked for. */
interface UnplaceableStep {
    readonly service: string;
    readonly image: string;
    readonly filler: boolean;
    readonly resources: Resources;
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
            // Serving tasks wait for compatible images beside room.
            spec.tailTargetMs > 0 ||
            spec.lasting ||
            spec.sameRack;
        if (!isRestricted) {
            const { image, filler, resources } = spec;
            this.steps.push({ service, image, filler, resources });
        }
    }

    covers({ spec, tasks }: Step, service: string): boolean {
        return this.steps.some(
            other =>
                other.service === service &&
                other.filler === spec.filler &&
                (!spec.filler || other.image === spec.image) &&
                !spec.lasting &&
                // A task on trial has a worker on which no other task may start.
                tasks.every(task => task.trial === undefined) &&
                other.resources.fitsIn(spec.resources),
        );
    }
}
