/** Fields of a log line. */
type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log of decisions and observed changes. Implementations bound its volume and never block the caller. */
export abstract class EventLog {
    abstract write(event: string, fields: LogFields): void;
}
