import * as fc from "fast-check";
import t from "tap";
import { GrowingBuffer } from "../src/growing-buffer.js";

const MaxBytes = 4_096;

// Guards against bodies that are changed by the way their chunks are collected, and against a buffer that occupies much
// more than its bytes, or more than was counted for it.
t.test("chunks of any sizes give the same bytes, in memory in proportion to them", t => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 2_000 }), { maxLength: 20 });
    fc.assert(
        fc.property(chunks, parts => {
            const buffer = GrowingBuffer.create();
            const added: Uint8Array[] = [];
            let counted = 0;
            for (const part of parts) {
                if (buffer.size + part.length > MaxBytes) {
                    break;
                }
                counted += buffer.growthFor(part.length);
                buffer.add(Buffer.from(part));
                added.push(part);
            }
            t.ok(counted <= Math.max(1_024, 2 * buffer.size) && counted <= MaxBytes);
            t.ok(counted >= buffer.size);
            return buffer.bytes.equals(Buffer.concat(added));
        }),
        { seed: 37 },
    );
    t.end();
});
