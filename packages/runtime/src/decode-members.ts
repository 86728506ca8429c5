import type { Member } from "@samphireward/protocol/gen/samphireward_pb";
import type { MemberInfo } from "@samphireward/state/member-info";
import { memberCodec } from "./member-codec.js";

/** Members of a message; those with an unknown role are left out. */
export const decodeMembers = (members: readonly Member[]): MemberInfo[] =>
    members.map(member => memberCodec.decode(member)).filter(info => info !== undefined);
