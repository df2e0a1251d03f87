import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkModel, isAsExpected, modelCases} from './models.js';

for (const modelCase of modelCases) {
	const {model, broken} = modelCase;
	test(broken === '' ? `the specification ${model} holds over all its states` : `${model} is rejected without its safeguard ${broken}`, async () => {
		const result = await checkModel(modelCase, () => performance.now());
		assert.ok(isAsExpected(result), JSON.stringify(result));
	});
}
