import type { ServiceImpl } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import type { Membership } from "@samphireward/state/membership";
import { decodeMembers } from "./decode-members.js";
import type { KeyOwner } from "./key-owner.js";
import { memberCodec } from "./member-codec.js";
import type { OwnerDirectory } from "./owner-directory.js";
import { PeerLimits } from "./peer-limits.js";

/** State that the handlers of `PeerService` use. */
interface PeerServiceOptions {
    readonly membership: Membership;
    readonly owners: OwnerDirectory;
    /** Set only in entry processes. */
    readonly keys?: KeyOwner | undefined;
}

/** Creates the handlers of `PeerService`. */
export const createPeerService = ({
    membership,
    owners,
    keys,
}: PeerServiceOptions): ServiceImpl<typeof PeerService> => ({
    exchange: req => {
        const self = req.self && memberCodec.decode(req.self);
        if (self === undefined) {
            throw new ConnectError("the request names no member", Code.InvalidArgument);
        }
        req.owners.forEach(owner => owners.update(owner));
        const { leavingTargets } = req;
        const response = membership.handle({ self, members: decodeMembers(req.members), leavingTargets });
        return {
            self: memberCodec.encode(response.self),
            members: response.members.map(info => memberCodec.encode(info)),
            leavingTargets: [...response.leavingTargets],
            owners: owners.sample(PeerLimits.maxOwnersPerMessage),
            ...(response.config && { config: response.config }),
        };
    },
    claimKey: ({ key, claimId }) => {
        if (keys === undefined) {
            throw new ConnectError("this process owns no keys", Code.Unimplemented);
        }
        return { result: keys.claim(key, claimId) };
    },
    releaseKey: ({ key, claimId }) => {
        keys?.release(key, claimId);
        return {};
    },
});
