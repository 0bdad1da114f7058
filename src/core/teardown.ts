/** Undoes a registration. Idempotent. */
export type Teardown = () => void;
