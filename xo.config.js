// Formatter and linter are one: `xo --fix` formats, `xo` checks. CONTRIBUTING.md gives the reason for each rule set here.
const configuration = [
	{ignores: ['dist/**', 'target/**', 'src/language/generated/**', 'docs/**', 'golden/**', 'model/**']},
	{
		rules: {
			// Retries, reconnects and polls are sequential on purpose.
			'no-await-in-loop': 'off',
			// The published completions protocol has `null` members and snake_case names.
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/naming-convention': 'off',
			// Behaviour that varies is an interface with classes; data is a type.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// Left, Right and their kin of purify-ts are functions by the library's own convention.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Nothing']}],
			// What a codec gives is `unknown`; the boundary that checks it names the type once.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// A child's name is data that its supervisor reads, so it is a field.
			'@typescript-eslint/class-literal-property-style': ['error', 'fields'],
			// The test runner awaits what `test` gives.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: 'test', package: 'node:test'}]}],
			// A typed event or row is a plain object by design; a constructor parameter list would hide its names.
			'max-params': ['error', {max: 4}],
		},
	},
];

export default configuration;
