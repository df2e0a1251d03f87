/** Every line of the target, its status and the mechanism behind it. docs/CAPACITY.md shows them in this order. */
import {type CapacityStatus} from './capacity-row.js';

/** One line of the target. */
export type TargetLine = {line: string; status: CapacityStatus; mechanism: string};

export const targetLines: readonly TargetLine[] = [
	{
		line: '760 daemons',
		status: 'carried',
		mechanism: 'membership by ring and cells, about 11 links each; measured at 96 daemons in one data centre (daemons-96); '
			+ 'gateways between data centres are tested in virtual time only',
	},
	{
		line: '12,000 servers on 24,000 accelerators',
		status: 'not carried yet',
		mechanism: 'sharing out and memory are carried; polls over HTTP and the whole platform list are not; see load knowledge and membership',
	},
	{
		line: '12,000 requests a second at the peak',
		status: 'carried',
		mechanism: '15.8 a daemon; see entry data path; not measured over many entry processes at once',
	},
	{
		line: '4 million tokens generated a second at the peak',
		status: 'carried',
		mechanism: '5,263 a daemon; see entry data path',
	},
	{
		line: 'first token within 1.8 s for 95 in 100',
		status: 'not carried yet',
		mechanism: 'not shown at this size: choosing the least loaded by reports of a second old makes all daemons choose the same '
			+ 'endpoint (docs/KNOWLEDGE.md); to come: the better of two at random within the cell',
	},
	{
		line: '28 ms between tokens for 95 in 100',
		status: 'not carried yet',
		mechanism: 'not measured at this size; tokens are passed on as they come, and the batch limit of an endpoint bounds its speed',
	},
	{
		line: '730,000 prompts that return after minutes to days',
		status: 'not carried yet',
		mechanism: 'what stores have is asked of them, with no state in a daemon (docs/KEPT-CONTEXT.md); the bytes of asking were not '
			+ 'measured at this size, and beliefs of engines are whole in each entry; see cache directory',
	},
	{line: '1,800 workspaces', status: 'carried', mechanism: 'whole in each daemon; see configuration'},
	{
		line: '31 models in steady use',
		status: 'carried',
		mechanism: 'services of the configuration and a name in each summary; they count as workspaces do',
	},
	{
		line: '4 regions with 8 data centres',
		status: 'not carried yet',
		mechanism: 'two gateways for each pair of data centres pass on configuration; load of other data centres is not known '
			+ 'beyond 40 daemons; to come: a coarse free figure for each model over the gateways',
	},
	{
		line: '23,000 changes of configuration a day',
		status: 'carried',
		mechanism: 'two table writes each, announced and asked for among peers; see configuration',
	},
	{
		line: 'in force everywhere within 3 s',
		status: 'carried',
		mechanism: 'poll and fan-out; not while both readers of a data centre die at once',
	},
	{line: 'control at most 3.8% of a core', status: 'not carried yet', mechanism: 'carried without the platform list; see membership'},
	{
		line: 'control at most 32 MB',
		status: 'not carried yet',
		mechanism: 'carried without the cache directory; what an instance keeps of prefixes is bounded by holder (4,096 pieces, '
			+ '1.3 MB each), which is over 32 MB from 25 holders on; see cache directory',
	},
	{
		line: 'control at most 4 KB a second',
		status: 'not carried yet',
		mechanism: 'carried between daemons; polls over HTTP and the platform list are over it',
	},
	{
		line: '83 instances fail on an ordinary day',
		status: 'carried',
		mechanism: 'silence of 4 s, then a rumour; shards go to others (docs/MEMBERSHIP.md); the time line of a third dying is in docs/measurements/peer.md',
	},
	{
		line: '840 instances restarted or replaced on an ordinary day',
		status: 'carried',
		mechanism: 'a graceful end is told at once; a start costs one snapshot from a peer',
	},
	{
		line: 'a rack or switch goes every week',
		status: 'carried',
		mechanism: 'as a third of 48 dying at once, measured in virtual time',
	},
	{
		line: 'a data centre goes once or twice a year',
		status: 'not carried yet',
		mechanism: 'the others go on; that callers reach another data centre is the platform\'s balancer\'s part; load of the others is not known at this size',
	},
	{
		line: 'regions lose each other for minutes, several times a year',
		status: 'carried',
		mechanism: 'each side goes on with its last configuration; tries of listed instances that were called gone end it; measured in virtual time',
	},
];
