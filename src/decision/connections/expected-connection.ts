/** What a request to an endpoint would use. */
export type ExpectedConnection = 'idle' | 'new';
