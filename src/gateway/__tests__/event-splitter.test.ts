import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {createEventSplitter} from '../event-splitter.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\r\ndata: d\r\n\r\nid: 4\ndata: cut';

void test('events are complete regardless of how the stream is chunked', () => {
	fc.assert(fc.property(fc.array(fc.nat(STREAM.length)), cuts => {
		const splitter = createEventSplitter();
		const bounds = [0, ...cuts.toSorted((left, right) => left - right), STREAM.length];
		const events = bounds.slice(1).flatMap((end, i) => splitter.push(Buffer.from(STREAM.slice(bounds[i], end))));
		const rest = splitter.takeRest();
		assert.deepEqual(events.map(({id}) => id), [1, 2, undefined, 3]);
		assert.equal(Buffer.from(rest).toString(), 'id: 4\ndata: cut');
		assert.equal(Buffer.concat([...events.map(({bytes}) => bytes), rest]).toString(), STREAM);
	}));
});
