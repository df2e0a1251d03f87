// Creates a variant of a deployment's site file from a seed: other numbers of instances, engines and workspaces, other
// bounds, and engines that check fencing numbers. Checks that pass on the given deployments must also pass on variants
// that the system was not tuned for.
//
//     node scripts/vary-site.mjs SITE SEED > VARIANT
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const [sitePath, seedText] = process.argv.slice(2);
const seed = Number(seedText);
if (sitePath === undefined || !Number.isInteger(seed)) {
	throw new Error('usage: node scripts/vary-site.mjs SITE SEED > VARIANT');
}

const generator = xoroshiro128plus(seed);
const draw = (least, most) => uniformInt(generator, least, most);

/** Changes the number of instances of a data centre by -2 to 3, to at least two. */
const varyInstances = line => line.replace(/count = (?<count>\d+)/v, (_, count) => `count = ${Math.max(2, Number(count) + draw(-2, 3))}`);

/** Changes the number of the service's servers in each data centre by at most one, to at least one. */
const varyServers = line => line.replaceAll(/(?<zone>zone = "[^"]+"), count = (?<count>\d+)/gv, (_, zone, count) => `${zone}, count = ${Math.max(1, Number(count) + draw(-1, 1))}`);

/** Percentages of the given bounds, from 80 to 150, drawn once for the whole file. */
const percentOfBound = new Map(['drain_ms', 'config_ms', 'outer_ms', 'version_ms', 'version_all_ms'].map(name => [name, 0]));
const versionPercent = draw(80, 150);
for (const name of percentOfBound.keys()) {
	percentOfBound.set(name, name.startsWith('version') ? versionPercent : draw(80, 150));
}

/** Changes a bound. Only called for lines of the bounds' sections, since the same keys mean other things elsewhere. */
function varyBound(line) {
	const match = /^(?<name>\w+) = (?<value>[\d.]+)$/v.exec(line);
	const percent = match === null ? undefined : percentOfBound.get(match.groups.name);
	return percent === undefined ? line : `${match.groups.name} = ${Math.round(Number(match.groups.value) * percent / 100)}`;
}

const workspaces = draw(3, 24);
let section = '';
const lines = readFileSync(sitePath, 'utf8').split('\n').map(line => {
	section = /^\[+(?<name>\w+)\]+$/v.exec(line)?.groups.name ?? section;
	if (section === '') {
		if (line.startsWith('  { class = "front"')) {
			return varyInstances(line);
		}

		return /^ {2}\{ name = .* model = "llm"/v.test(line) ? varyServers(line) : line;
	}

	if (section === 'tenants' && line.startsWith('count = ')) {
		return `count = ${workspaces}`;
	}

	if (section === 'bounds' && line.startsWith('fenced = ')) {
		return 'fenced = true';
	}

	return section === 'bounds' || section === 'timing' ? varyBound(line) : line;
});
process.stdout.write(lines.join('\n'));
