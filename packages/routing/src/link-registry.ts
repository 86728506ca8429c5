import type { Clock } from "@samphireward/core/clock";
import type { Tables } from "@samphireward/core/tables";
import { LinkRateLimiter } from "./link-rate-limiter.js";
import type { TargetState } from "./target-state.js";

interface LinkRateLimiters {
    bitsPerSecond: number;
    readonly out: LinkRateLimiter;
    readonly in: LinkRateLimiter;
}

/** The rate limiters of the links between the region of this process and the others. */
export class LinkRegistry {
    private readonly limiters = new Map<string, LinkRateLimiters>();

    private constructor(
        private readonly clock: Clock,
        private readonly dataCentre: string,
        private readonly entryCountInRegion: () => number,
    ) {}

    static create(clock: Clock, dataCentre: string, entryCountInRegion: () => number): LinkRegistry {
        return new LinkRegistry(clock, dataCentre, entryCountInRegion);
    }

    /** The rate limiters of the link to a target; `undefined` within this region and for a link without a limit. */
    limitersFor(target: TargetState, tables: Tables): LinkRateLimiters | undefined {
        const { dataCentre } = target.share;
        if (dataCentre === this.dataCentre) {
            return undefined;
        }
        const from = tables.zones.get(this.dataCentre)?.region ?? "";
        const to = tables.zones.get(dataCentre)?.region ?? "";
        const link = from === to ? undefined : tables.linkBetween(from, to);
        if (link === undefined) {
            return undefined;
        }
        const limiters = this.limiters.get(link.name) ?? this.addLimiters(link.name, link.bitsPerSecond);
        limiters.bitsPerSecond = link.bitsPerSecond;
        return limiters;
    }

    hasCapacity(target: TargetState, tables: Tables): boolean {
        const limiters = this.limitersFor(target, tables);
        return limiters === undefined || (limiters.out.hasCapacity && limiters.in.hasCapacity);
    }

    byteCounts(): Record<string, number> {
        const entries = [...this.limiters].flatMap(([name, limiters]): [string, number][] => [
            [`${name}.out`, limiters.out.totalBytes],
            [`${name}.in`, limiters.in.totalBytes],
        ]);
        return Object.fromEntries(entries);
    }

    private addLimiters(name: string, bitsPerSecond: number): LinkRateLimiters {
        const rate = (): number => {
            const current = this.limiters.get(name)?.bitsPerSecond ?? bitsPerSecond;
            return current / Math.max(1, this.entryCountInRegion());
        };
        const limiters = {
            bitsPerSecond,
            out: LinkRateLimiter.create(this.clock, rate),
            in: LinkRateLimiter.create(this.clock, rate),
        };
        this.limiters.set(name, limiters);
        return limiters;
    }
}
