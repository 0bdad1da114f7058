/** Options of connections between our own processes: no repeats inside the library, and a peer that is back is found within a second. */
export const PEER_CHANNEL_OPTIONS = {
	'grpc.enable_retries': 0,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
} as const;
