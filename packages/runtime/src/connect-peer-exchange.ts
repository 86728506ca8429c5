import { createClient } from "@connectrpc/connect";
import { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import type { ExchangeMessage } from "@samphireward/state/exchange-message";
import { PeerExchange } from "@samphireward/state/peer-exchange";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { decodeMembers } from "./decode-members.js";
import { memberCodec } from "./member-codec.js";
import type { OwnerDirectory } from "./owner-directory.js";
import { PeerLimits } from "./peer-limits.js";
import type { TransportCache } from "./transport-cache.js";

/** Exchanges with peers over `PeerService.Exchange`; each message also includes known cell owners. */
export class ConnectPeerExchange extends PeerExchange {
    private constructor(
        private readonly transports: TransportCache,
        private readonly owners: OwnerDirectory,
    ) {
        super();
    }

    static create(transports: TransportCache, owners: OwnerDirectory): ConnectPeerExchange {
        return new ConnectPeerExchange(transports, owners);
    }

    override async exchange(
        address: string,
        message: ExchangeMessage,
    ): Promise<Result<ExchangeMessage, string>> {
        const client = createClient(PeerService, this.transports.get(address));
        const req = {
            self: memberCodec.encode(message.self),
            members: message.members.map(info => memberCodec.encode(info)),
            leavingTargets: [...message.leavingTargets],
            owners: this.owners.sample(PeerLimits.maxOwnersPerMessage),
        };
        try {
            const res = await client.exchange(req, { timeoutMs: PeerLimits.exchangeTimeoutMs });
            const self = res.self && memberCodec.decode(res.self);
            if (self === undefined) {
                return Err("the response of the peer names no valid member");
            }
            res.owners.forEach(owner => this.owners.update(owner));
            const { leavingTargets, config } = res;
            return Ok({
                self,
                members: decodeMembers(res.members),
                leavingTargets,
                ...(config && { config }),
            });
        } catch (err) {
            return Err((err as Error).message);
        }
    }
}
