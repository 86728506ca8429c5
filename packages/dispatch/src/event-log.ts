/** Fields of a log line. */
type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured lines about decisions and changes of belief; bounded in volume, never blocking. */
export abstract class EventLog {
    abstract write(event: string, fields: LogFields): void;
}
