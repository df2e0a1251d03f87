import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ResourceHolder, SharedResource} from './shared-resource.js';

type Holder = ResourceHolder & {name: string};

function holder(name: string, dueAt: number, displacementRank = 0): Holder {
	return {name, dueAt, displacementRank};
}

function resourceOf(...holders: Holder[]): SharedResource<Holder> {
	const resource = new SharedResource<Holder>();
	for (const each of holders) {
		resource.hold(each, 10);
	}

	return resource;
}

test('those of the lowest rank lose it first, and among them the one that is due longest', () => {
	// Guards against a crowd that stands still and keeps all others out, and against the loss of one that goes on.
	const [idle, late, later] = [holder('idle', 0, 1), holder('late', 100), holder('later', 200)];
	const resource = resourceOf(idle, later, late);
	assert.deepEqual(resource.selectDisplaced(1, 300), [late]);
	assert.deepEqual(resource.selectDisplaced(11, 300), [late, later]);
	assert.deepEqual(resource.selectDisplaced(30, 300), [late, later, idle]);
});

test('nobody loses it who is not due, or may not lose it at all, and nobody in vain', () => {
	const resource = resourceOf(holder('due', 100), holder('not due', 101), {...holder('served', 0), displacementRank: undefined});
	assert.equal(resource.selectDisplaced(11, 100), undefined);
	assert.equal(resource.selectDisplaced(11, 101)?.length, 2);
	assert.equal(resource.selectDisplaced(21, 1000), undefined);
	assert.deepEqual(resource.selectDisplaced(0, 1000), []);
});

test('what holders have is summed, and one that has nothing is no holder', () => {
	const only = holder('only', 0);
	const other = holder('other', 0);
	const resource = resourceOf(only, other);
	resource.hold(only, 25);
	assert.equal(resource.total, 35);
	assert.equal(resource.isHeldOnlyBy(only), false);
	resource.hold(other, 0);
	assert.equal(resource.total, 25);
	assert.equal(resource.isHeldOnlyBy(only), true);
	assert.equal(resource.isHeldOnlyBy(undefined), false);
	resource.hold(only, 0);
	assert.equal(resource.isHeldOnlyBy(undefined), true);
	assert.equal(resource.isHeldOnlyBy(only), true);
});
