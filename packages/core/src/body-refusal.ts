/** Why there is no body: the status to send and its reason as text. */
export interface BodyRefusal {
    readonly status: number;
    readonly text: string;
}
