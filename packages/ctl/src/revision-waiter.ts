import { setTimeout as delay } from "node:timers/promises";
import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { AdminClient } from "./admin-client.js";
import { MembersResponse } from "./responses/members-response.js";

type Member = MembersResponse["members"][number];

interface WaitOutcome {
    readonly isInForce: boolean;
    /** Number of live members in the last response. */
    readonly liveCount: number;
    readonly lagging: readonly Member[];
}

const PollIntervalMs = 250;

/** Waits until all live members run at least the given revision. A suspected member counts as live until it is gone. */
export class RevisionWaiter {
    private liveMembers: readonly Member[] = [];
    private lastProgress = "";

    private constructor(
        private readonly client: AdminClient,
        private readonly revision: number,
        private readonly onProgress: (line: string) => void,
    ) {}

    static create(client: AdminClient, revision: number, onProgress: (line: string) => void): RevisionWaiter {
        return new RevisionWaiter(client, revision, onProgress);
    }

    /** Returns when the revision is in force or the timeout expires, with the members that run an older revision. */
    async run(timeoutMs: number): Promise<WaitOutcome> {
        const deadlineMs = performance.now() + timeoutMs;
        for (;;) {
            const response = await this.client.get("/v1/members", MembersResponse);
            this.update(response);
            const lagging = this.laggingMembers();
            const isInForce = response.isOk() && this.liveMembers.length > 0 && lagging.length === 0;
            if (isInForce || performance.now() >= deadlineMs) {
                return { isInForce, liveCount: this.liveMembers.length, lagging };
            }
            await delay(Math.min(PollIntervalMs, Math.max(0, deadlineMs - performance.now())));
        }
    }

    private laggingMembers(): readonly Member[] {
        return this.liveMembers.filter(member => member.revision < this.revision);
    }

    private update(response: Result<MembersResponse, CodedError>): void {
        if (response.isErr()) {
            this.reportProgress(`members cannot be read: ${response.error.message}`);
            return;
        }
        this.liveMembers = response.value.members.filter(member => member.state !== "gone");
        const lagging = this.laggingMembers();
        const names = lagging.map(member => `${member.name} (revision ${member.revision})`).join(", ");
        const done = `${this.liveMembers.length - lagging.length} of ${this.liveMembers.length} live members`;
        this.reportProgress(
            `revision ${this.revision}: ${done}${names === "" ? "" : `; waiting for ${names}`}`,
        );
    }

    private reportProgress(line: string): void {
        if (line !== this.lastProgress) {
            this.lastProgress = line;
            this.onProgress(line);
        }
    }
}
