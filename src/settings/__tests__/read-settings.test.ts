import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {describeDocumentError} from '../../toml/toml-document.js';
import {readSettings} from '../read-settings.js';

const AGENT = `
role = "agent"
instance_id = "agent-1"
region = "ar-centro"
failure_domain = "domain-a"
metrics_listen = "127.0.0.1:9100"
link_listen = "127.0.0.1:7100"
service = "settlements"

[platform]
table_url = "http://127.0.0.1:8001"
object_url = "http://127.0.0.1:8002"
instance_list_url = "http://127.0.0.1:8003"

[backend]
kind = "plain"
url = "http://127.0.0.1:8100"
`;

let dir = '';

before(async () => {
	dir = await mkdtemp(path.join(os.tmpdir(), 'pollenport-settings-'));
});

after(async () => {
	await rm(dir, {recursive: true});
});

async function checkSettings(text: string): Promise<string> {
	const file = path.join(dir, 's.toml');
	await writeFile(file, text);
	const settings = await readSettings(file);
	return settings.ok ? 'good' : describeDocumentError(settings.error).replace(file, 's.toml');
}

test('settings on loopback need no secrets', async () => {
	assert.equal(await checkSettings(AGENT), 'good');
});

const faults = [
	['an unknown field', 'service = "settlements"', 'service = "settlements"\nweight = 1', /^s\.toml: weight: unknown field$/v],
	['a wrong type', '"127.0.0.1:7100"', '7100', /^s\.toml: link_listen: /v],
	['an address without a port', '127.0.0.1:7100', '127.0.0.1', /^s\.toml: link_listen: must be IP:port$/v],
	['an unknown role', '"agent"', '"proxy"', /^s\.toml: role: /v],
	['a listener outside loopback without a secret', '127.0.0.1:7100', '10.0.0.1:7100', /^s\.toml: link_token_file: needed/v],
	['half of the TLS files', '[backend]', '[tls]\ncertificate_file = "c.pem"\n\n[backend]', /^s\.toml: tls\.key_file: /v],
	['an unknown field in a table', 'kind = "plain"', 'kind = "plain"\nretries = 3', /^s\.toml: backend\.retries: unknown field$/v],
] as const;

for (const [name, from, to, expected] of faults) {
	test(`settings with ${name} are rejected with file and field`, async () => {
		assert.match(await checkSettings(AGENT.replace(from, to)), expected);
	});
}

test('the error for a missing settings file names the file', async () => {
	const settings = await readSettings(path.join(dir, 'absent.toml'));
	assert.ok(!settings.ok);
	assert.match(describeDocumentError(settings.error), /absent\.toml: cannot be read: ENOENT$/v);
});
