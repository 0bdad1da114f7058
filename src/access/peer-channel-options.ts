/**
 * Channel options of gRPC for connections between processes of the system.
 *
 * The library does not retry calls by itself, and its reconnect backoff is at most a second, so that a recovered peer is
 * found within that time.
 */
export const PEER_CHANNEL_OPTIONS = {
	'grpc.enable_retries': 0,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
} as const;
