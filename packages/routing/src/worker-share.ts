/** The slots and connections of one worker that an entry process may use, and those that it uses now. */
export class WorkerShare {
    slots = 0;
    connections = 0;
    epoch = 0;
    /** Monotonic time of this process. */
    expiresAtMs = 0;
    serviceAddress = "";
    slotsInUse = 0;
    connectionsOpen = 0;
    leaving = false;

    private constructor(
        readonly worker: string,
        readonly dataCentre: string,
    ) {}

    static create(worker: string, dataCentre: string): WorkerShare {
        return new WorkerShare(worker, dataCentre);
    }

    /** Whether the share grants a slot and has not expired. */
    isHeld(nowMs: number): boolean {
        return this.slots > 0 && nowMs < this.expiresAtMs;
    }

    isUsable(nowMs: number): boolean {
        return !this.leaving && this.isHeld(nowMs);
    }

    /** Takes a slot if fewer than `limit`, and fewer than the share allows, are in use. */
    tryTakeSlot(nowMs: number, limit: number): boolean {
        if (!this.isUsable(nowMs) || this.slotsInUse >= Math.min(limit, this.slots)) {
            return false;
        }
        this.slotsInUse += 1;
        return true;
    }

    releaseSlot(): void {
        this.slotsInUse -= 1;
    }

    /** Counts a connection about to be opened; it is counted until `closeConnection`. */
    tryOpenConnection(nowMs: number): boolean {
        if (nowMs >= this.expiresAtMs || this.connectionsOpen >= this.connections) {
            return false;
        }
        this.connectionsOpen += 1;
        return true;
    }

    closeConnection(): void {
        this.connectionsOpen -= 1;
    }

    /** Whether current use is within the share, so that the share can be confirmed to the owner. */
    get isWithinShare(): boolean {
        return this.slotsInUse <= this.slots && this.connectionsOpen <= this.connections;
    }
}
