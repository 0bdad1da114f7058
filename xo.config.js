const customaryNames = {
	args: true,
	cfg: true,
	ctx: true,
	def: true,
	dev: true,
	dir: true,
	doc: true,
	env: true,
	err: true,
	fn: true,
	i: true,
	j: true,
	k: true,
	msg: true,
	num: true,
	param: true,
	params: true,
	prev: true,
	ref: true,
	req: true,
	res: true,
	str: true,
	temp: true,
	tx: true,
	val: true,
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['src/wire/generated/**', 'dist/**']},
	{
		prettier: false,
		rules: {
			'unicorn/prevent-abbreviations': ['error', {allowList: customaryNames, checkFilenames: false}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
