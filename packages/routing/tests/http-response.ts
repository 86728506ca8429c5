/** Text of an HTTP/1.1 response with its `content-length`. Each header line in `headers` ends with CR LF. */
export const httpResponse = (body: string, headers = "", status = "200 OK"): string =>
    `HTTP/1.1 ${status}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${headers}\r\n${body}`;
