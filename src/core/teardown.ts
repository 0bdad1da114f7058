/** Undoes a registration. Calling it twice has no further effect. */
export type Teardown = () => void;
