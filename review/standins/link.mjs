import { createServer, connect } from "node:net";

/** A TCP proxy on a free loopback port. While it is cut, it takes bytes and channels and passes nothing on. */
export class Link {
    address = "";
    isCut = false;
    pairs = new Set();

    static create(target) {
        const link = new Link();
        const [host, port] = target.split(":");
        link.server = createServer(near => link.open(near, host, Number(port)));
        return new Promise((resolve, reject) => {
            link.server.on("error", reject);
            link.server.listen(0, "127.0.0.1", () => {
                link.address = `127.0.0.1:${link.server.address().port}`;
                resolve(link);
            });
        });
    }

    open(near, host, port) {
        const far = connect(port, host);
        const pair = { near, far, isLost: this.isCut };
        this.pairs.add(pair);
        const pass = (from, to) => {
            from.on("data", bytes => {
                // Bytes that a cut has held up are lost, so the channel stays silent after it.
                pair.isLost ||= this.isCut;
                if (!pair.isLost) {
                    to.write(bytes);
                }
            });
            from.on("error", () => undefined);
            from.on("close", () => {
                this.pairs.delete(pair);
                to.destroy();
            });
        };
        pass(near, far);
        pass(far, near);
    }

    close() {
        this.server.close();
        this.pairs.forEach(({ near, far }) => {
            near.destroy();
            far.destroy();
        });
    }
}
