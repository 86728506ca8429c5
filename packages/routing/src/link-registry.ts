import type { Clock } from "@samphireward/core/clock";
import type { Tables } from "@samphireward/core/tables";
import { LinkRateLimiter } from "./link-rate-limiter.js";
import type { TargetState } from "./target-state.js";

interface LinkRateLimiters {
    bitsPerSecond: number;
    readonly out: LinkRateLimiter;
    readonly in: LinkRateLimiter;
}

/** The meters of the links between this process's region and the others. */
export class LinkRegistry {
    private readonly limiters = new Map<string, LinkRateLimiters>();

    private constructor(
        private readonly clock: Clock,
        private readonly dataCentre: string,
        private readonly entryCountInRegion: () => number,
    ) {}

    static create(clock: Clock, dataCentre: string, entriesInRegion: () => number): LinkRegistry {
        return new LinkRegistry(clock, dataCentre, entriesInRegion);
    }

    /** The meters of the link to a target; `undefined` in the own region and for a link that is not bounded. */
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
        const meters = this.limiters.get(link.name) ?? this.addLimiters(link.name, link.bitsPerSecond);
        meters.bitsPerSecond = link.bitsPerSecond;
        return meters;
    }

    hasCapacity(target: TargetState, tables: Tables): boolean {
        const meters = this.limitersFor(target, tables);
        return meters === undefined || (meters.out.hasCapacity && meters.in.hasCapacity);
    }

    byteCounts(): Record<string, number> {
        const entries = [...this.limiters].flatMap(([name, meters]): [string, number][] => [
            [`${name}.out`, meters.out.totalBytes],
            [`${name}.in`, meters.in.totalBytes],
        ]);
        return Object.fromEntries(entries);
    }

    private addLimiters(name: string, bitsPerSecond: number): LinkRateLimiters {
        const rate = (): number => {
            const current = this.limiters.get(name)?.bitsPerSecond ?? bitsPerSecond;
            return current / Math.max(1, this.entryCountInRegion());
        };
        const meters = {
            bitsPerSecond,
            out: LinkRateLimiter.create(this.clock, rate),
            in: LinkRateLimiter.create(this.clock, rate),
        };
        this.limiters.set(name, meters);
        return meters;
    }
}
