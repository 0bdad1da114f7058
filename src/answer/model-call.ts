import {Buffer} from 'node:buffer';
import {z} from 'zod';

const modelCallSchema = z.object({
	prompt: z.string(),
	/** Token limit of the whole answer. */
	maxTokens: z.number().int().positive(),
});

export type ModelCall = Readonly<z.infer<typeof modelCallSchema>>;

/** Encodes a model call as the JSON body of a start frame. */
export function encodeModelCall(call: ModelCall): Uint8Array {
	return Buffer.from(JSON.stringify(call));
}

/** Parses the body of a start frame; undefined when it is malformed. */
export function parseModelCall(body: Uint8Array): ModelCall | undefined {
	try {
		return modelCallSchema.safeParse(JSON.parse(Buffer.from(body).toString('utf8'))).data;
	} catch {
		return undefined;
	}
}
