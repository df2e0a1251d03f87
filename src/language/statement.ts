/** The parsed form of a line of the operators' language. Columns count from 1. */

/** A source of rows. */
export type SourceName = 'endpoints' | 'workspaces' | 'services' | 'requests' | 'waiting' | 'claims' | 'cache' | 'instances' | 'peers' | 'configuration' | 'acts';

/** The name of a field and its column in the line. */
export type FieldName = {
	name: string;
	column: number;
};

/** The name of the target of a command and its column in the line. */
export type TargetName = FieldName;

/** The comparison of a field with a value. */
export type ComparisonOperator = '=' | '!=' | '<' | '<=' | '>' | '>=' | 'contains';

/** A condition that a row must meet. */
export type Condition
	= | {kind: 'or' | 'and'; left: Condition; right: Condition}
		| {kind: 'not'; operand: Condition}
		| {kind: 'comparison'; field: FieldName; operator: ComparisonOperator; value: string | number};

/** A statement that reads the rows of a source. */
export type ReadStatement = {
	kind: 'read';
	source: SourceName;
	where?: Condition;
	order: Array<FieldName & {descending: boolean}>;
	limit?: number;
};

/** A command, with the reason that the operator gives for it. */
export type CommandStatement
	= | {kind: 'act'; verb: 'drain' | 'admit' | 'pause' | 'resume' | 'cancel'; target: TargetName; reason: string}
		| {kind: 'act'; verb: 'move'; target: TargetName; version: TargetName; reason: string};

export type Statement = ReadStatement | CommandStatement;

/** An error in a line: the column, and what was expected there. */
export type LanguageError = {
	column: number;
	message: string;
};

/** The answer to a read statement. */
export type Table = {
	columns: string[];
	rows: Row[];
};

/** The values of one row by field name. */
export type Row = Record<string, string | number | boolean | undefined>;
