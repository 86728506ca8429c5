import { setTimeout as delay } from "node:timers/promises";
import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { AdminClient } from "./admin-client.js";
import { MembersAnswer } from "./answers/members-answer.js";

type Member = MembersAnswer["members"][number];

interface WaitOutcome {
    readonly isInForce: boolean;
    /** Number of live members in the last answer. */
    readonly live: number;
    readonly lagging: readonly Member[];
}

const PollMs = 250;

/** Waits until every live member runs a revision. A suspected member counts as live until it is gone. */
export class RevisionWait {
    private live: readonly Member[] = [];
    private lastProgress = "";

    private constructor(
        private readonly client: AdminClient,
        private readonly revision: number,
        private readonly report: (line: string) => void,
    ) {}

    static create(client: AdminClient, revision: number, report: (line: string) => void): RevisionWait {
        return new RevisionWait(client, revision, report);
    }

    /** Ends when the revision is in force or the time is over; names the members that run an older revision. */
    async run(timeoutMs: number): Promise<WaitOutcome> {
        const endMs = performance.now() + timeoutMs;
        for (;;) {
            const answer = await this.client.get("/v1/members", MembersAnswer);
            this.update(answer);
            const lagging = this.lagging();
            const isInForce = answer.isOk() && this.live.length > 0 && lagging.length === 0;
            if (isInForce || performance.now() >= endMs) {
                return { isInForce, live: this.live.length, lagging };
            }
            await delay(Math.min(PollMs, Math.max(0, endMs - performance.now())));
        }
    }

    private lagging(): readonly Member[] {
        return this.live.filter(member => member.revision < this.revision);
    }

    private update(answer: Result<MembersAnswer, CodedError>): void {
        if (answer.isErr()) {
            this.progress(`members cannot be read: ${answer.error.message}`);
            return;
        }
        this.live = answer.value.members.filter(member => member.state !== "gone");
        const lagging = this.lagging();
        const names = lagging.map(member => `${member.name} (revision ${member.revision})`).join(", ");
        const done = `${this.live.length - lagging.length} of ${this.live.length} live members`;
        this.progress(`revision ${this.revision}: ${done}${names === "" ? "" : `; waiting for ${names}`}`);
    }

    private progress(line: string): void {
        if (line !== this.lastProgress) {
            this.lastProgress = line;
            this.report(line);
        }
    }
}
