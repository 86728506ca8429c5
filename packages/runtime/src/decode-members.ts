import type { Member } from "@samphireward/protocol/gen/samphireward_pb";
import type { MemberInfo } from "@samphireward/state/member-info";
import { memberCodec } from "./member-codec.js";

/** Decodes the members of a message, without those that have an unknown role. */
export const decodeMembers = (members: readonly Member[]): MemberInfo[] =>
    members.map(member => memberCodec.decode(member)).filter(info => info !== undefined);
