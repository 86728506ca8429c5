import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Member, MemberSchema } from "@samphireward/protocol/gen/samphireward_pb";
import type { MemberInfo } from "@samphireward/state/member-info";

/** Converts members between protocol messages and the membership table. */
export const memberCodec = {
    encode: (info: MemberInfo): MessageInitShape<typeof MemberSchema> => ({ ...info }),

    /** Returns `undefined` for a role that this version does not know. */
    decode: (member: Member): MemberInfo | undefined => {
        const { name, role, region, dataCentre, address, incarnation, heartbeat, configRevision, leaving } =
            member;
        if (role !== "entry" && role !== "scheduler") {
            return undefined;
        }
        return { name, role, region, dataCentre, address, incarnation, heartbeat, configRevision, leaving };
    },
} as const;
