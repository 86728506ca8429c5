import type { CellOwner } from "../../src/cell-owner.js";

/** A scheduler process of the simulation. While it is paused, messages to it are queued. */
export class SimProcess {
    alive = true;
    paused = false;
    leaseUntilMs = 0;
    owner: CellOwner | undefined;
    private inbox: (() => void)[] = [];

    private constructor(readonly epoch: number) {}

    static create(epoch: number): SimProcess {
        return new SimProcess(epoch);
    }

    get runs(): boolean {
        return this.alive && !this.paused;
    }

    deliver(run: () => void): void {
        if (this.paused) {
            this.inbox.push(run);
        } else if (this.alive) {
            run();
        }
    }

    resume(): void {
        this.paused = false;
        const waiting = this.inbox;
        this.inbox = [];
        waiting.forEach(run => this.deliver(run));
    }
}
