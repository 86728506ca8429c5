import type { EpochReport } from "./epoch-report.js";
import { judgeEpochReports } from "./judge-epoch-reports.js";
import type { MemberList } from "./member-list.js";
import type { PeerClient } from "./peer-client.js";
import type { TakeoverCheckResult } from "./takeover-check-result.js";

/** Asks the other processes whether a cell has another owner, for an owner that does not reach the store. */
export class TakeoverChecker {
    private constructor(
        private readonly members: MemberList,
        private readonly peers: PeerClient,
    ) {}

    static create(members: MemberList, peers: PeerClient): TakeoverChecker {
        return new TakeoverChecker(members, peers);
    }

    async check(cell: number, epoch: number): Promise<TakeoverCheckResult> {
        const { addresses } = this.members;
        const responses = await Promise.all(addresses.map(address => this.peers.epochReport(address, cell)));
        const reports: EpochReport[] = [];
        for (const response of responses) {
            response.map(report => reports.push(report));
        }
        return judgeEpochReports({ epoch, reports, processCount: addresses.length });
    }
}
