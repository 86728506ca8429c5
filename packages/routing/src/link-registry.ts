import type { Clock } from "@samphireward/core/clock";
import type { Tables } from "@samphireward/core/tables";
import { LinkMeter } from "./link-meter.js";
import type { TargetState } from "./target-state.js";

interface LinkMeters {
    bitsPerSecond: number;
    readonly out: LinkMeter;
    readonly in: LinkMeter;
}

/** The meters of the links between this process's region and the others. */
export class LinkRegistry {
    private readonly meters = new Map<string, LinkMeters>();

    private constructor(
        private readonly clock: Clock,
        private readonly dataCentre: string,
        private readonly entriesInRegion: () => number,
    ) {}

    static create(clock: Clock, dataCentre: string, entriesInRegion: () => number): LinkRegistry {
        return new LinkRegistry(clock, dataCentre, entriesInRegion);
    }

    /** The meters of the link to a target; `undefined` in the own region and for a link that is not bounded. */
    linkTo(target: TargetState, tables: Tables): LinkMeters | undefined {
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
        const meters = this.meters.get(link.name) ?? this.addMeters(link.name, link.bitsPerSecond);
        meters.bitsPerSecond = link.bitsPerSecond;
        return meters;
    }

    hasRoom(target: TargetState, tables: Tables): boolean {
        const meters = this.linkTo(target, tables);
        return meters === undefined || (meters.out.hasRoom && meters.in.hasRoom);
    }

    bytes(): Record<string, number> {
        const entries = [...this.meters].flatMap(([name, meters]): [string, number][] => [
            [`${name}.out`, meters.out.totalBytes],
            [`${name}.in`, meters.in.totalBytes],
        ]);
        return Object.fromEntries(entries);
    }

    private addMeters(name: string, bitsPerSecond: number): LinkMeters {
        const rate = (): number => {
            const current = this.meters.get(name)?.bitsPerSecond ?? bitsPerSecond;
            return current / Math.max(1, this.entriesInRegion());
        };
        const meters = {
            bitsPerSecond,
            out: LinkMeter.create(this.clock, rate),
            in: LinkMeter.create(this.clock, rate),
        };
        this.meters.set(name, meters);
        return meters;
    }
}
