import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {connectionPool} from '../../adapters/http-client.js';
import {OperatorClient, type ProposalAnswer} from '../../operator/operator-client.js';
import {type ConfigurationChange, type ConfigurationEdit} from '../../shared/types.js';
import {testOperatorKey, TestEntries} from './test-entries.js';

after(async () => connectionPool.close());

const proposals = 100;
const rounds = 10;

type Attempt = {author: string; reason: string; plannedAgainst: number; answer: ProposalAnswer};

// Two operators at two instances repeatedly change the configuration without seeing each other's changes. For each version,
// one of the concurrent proposals can be accepted. The others must be answered with the changes since their plan, and every
// proposal that was answered as accepted must be in the history, although the table service loses some answers after the
// write took effect.
test('100 concurrent proposals of two operators are accepted or overtaken, and the history has every accepted one', async t => {
	const entries = new TestEntries();
	await entries.start(2);
	t.after(async () => entries.stop());
	const clients = entries.addresses.map(({operators}) => new OperatorClient(operators, testOperatorKey));
	await entries.setTableFaults({loseAnswers: 5});
	const attempt = async (index: number): Promise<Attempt> => {
		const client = clients[index % 2]!;
		const {version} = await client.configuration();
		const proposal = {
			plannedAgainst: version, edits: [ruleEdit(index)], author: ['ana', 'bo'][index % 2]!, reason: `apply ${index}`,
		};
		return {...proposal, answer: await client.propose(proposal)};
	};

	const attempts: Attempt[] = [];
	for (let round = 0; round < rounds; round++) {
		const indexes = Array.from({length: proposals / rounds}, (_, index) => (round * proposals / rounds) + index);
		attempts.push(...await Promise.all(indexes.map(async index => attempt(index))));
	}

	const history = await clients[0]!.changes();
	assert.equal(attempts.length, proposals);
	assert.deepEqual(history.map(({version}) => version), history.map((_, index) => index + 1));
	for (const {author, reason, plannedAgainst, answer} of attempts) {
		if (answer.kind === 'accepted') {
			assert.deepEqual(history[answer.change.version - 1], answer.change);
			assert.equal(answer.change.reason, reason);
			assert.equal(answer.change.author, author);
		} else {
			assert.equal(answer.kind, 'overtaken');
			assertOvertaken(answer, plannedAgainst, history);
		}
	}

	const accepted = attempts.filter(({answer}) => answer.kind === 'accepted').length;
	assert.equal(accepted, history.length);
	assert.ok(accepted >= rounds, `${accepted} accepted`);
	for (const [index, {answer}] of attempts.entries()) {
		if (answer.kind !== 'accepted') {
			const again = await attempt(index);
			assert.equal(again.answer.kind, 'accepted', 'a proposal that was overtaken is accepted when it is planned again');
		}
	}

	const {rules} = await clients[1]!.configuration();
	assert.equal(rules.size, proposals);
	t.diagnostic(`${accepted} accepted, ${proposals - accepted} overtaken`);
});

function ruleEdit(index: number): ConfigurationEdit {
	return {action: 'set', kind: 'rule', item: {name: `rule-${index}`, deadlineMilliseconds: 1000 + index}};
}

function assertOvertaken(answer: ProposalAnswer & {kind: 'overtaken'}, plannedAgainst: number, history: readonly ConfigurationChange[]): void {
	assert.ok(answer.since.length > 0, 'an overtaken proposal is answered with the changes since its plan');
	assert.deepEqual(answer.since, history.slice(plannedAgainst, plannedAgainst + answer.since.length));
}

test('an invalid proposal, which the command line would not send, is refused with its findings and not applied', async t => {
	const entries = new TestEntries();
	await entries.start(1);
	t.after(async () => entries.stop());
	const client = new OperatorClient(entries.addresses[0]!.operators, testOperatorKey);
	const bad = [
		{action: 'set', kind: 'workspace', item: {name: 'quay', share: -1}},
		{action: 'set', kind: 'rule', item: {name: 'r', workspace: 'nobody'}},
	];
	for (const edit of bad) {
		const answer = await client.propose({
			plannedAgainst: 0, edits: [edit as unknown as ConfigurationEdit], author: 'ana', reason: 'test',
		});
		assert.equal(answer.kind, 'bad-proposal');
		assert.ok((answer).findings.length > 0);
	}

	const {version, rules} = await client.configuration();
	assert.deepEqual({version, rules: rules.size}, {version: 0, rules: 0});
});
