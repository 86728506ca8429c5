import type { ServiceImpl } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import type { Membership } from "@samphireward/state/membership";
import { decodeMembers } from "./decode-members.js";
import type { KeyOwner } from "./key-owner.js";
import { memberCodec } from "./member-codec.js";
import type { OwnerDirectory } from "./owner-directory.js";
import { PeerLimits } from "./peer-limits.js";

/** What the peer port of a process answers from. */
interface PeerServiceParts {
    readonly membership: Membership;
    readonly owners: OwnerDirectory;
    /** Only in entry processes. */
    readonly keys?: KeyOwner | undefined;
}

/** Makes the handlers of `PeerService`. */
export const peerServiceImpl = ({
    membership,
    owners,
    keys,
}: PeerServiceParts): ServiceImpl<typeof PeerService> => ({
    exchange: req => {
        const self = req.self && memberCodec.decode(req.self);
        if (self === undefined) {
            throw new ConnectError("the request names no member", Code.InvalidArgument);
        }
        req.owners.forEach(owner => owners.learn(owner));
        const { leavingTargets } = req;
        const answer = membership.handle({ self, members: decodeMembers(req.members), leavingTargets });
        return {
            self: memberCodec.encode(answer.self),
            members: answer.members.map(info => memberCodec.encode(info)),
            leavingTargets: [...answer.leavingTargets],
            owners: owners.sample(PeerLimits.ownersPerMessage),
            ...(answer.config && { config: answer.config }),
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
