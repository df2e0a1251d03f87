/** What a line of the operators' language says, once parsed. Columns count from 1. */

/** What can be read. */
export type SourceName = 'endpoints' | 'workspaces' | 'services' | 'requests' | 'waiting' | 'claims' | 'cache' | 'instances' | 'peers' | 'configuration' | 'acts';

/** A field by name, with where it stands in the line. */
export type FieldName = {
	name: string;
	column: number;
};

/** A name that an act is about, with where it stands in the line. */
export type TargetName = FieldName;

/** How a field is compared with a value. */
export type ComparisonOperator = '=' | '!=' | '<' | '<=' | '>' | '>=' | 'contains';

/** What a row must meet. */
export type Condition
	= | {kind: 'or' | 'and'; left: Condition; right: Condition}
		| {kind: 'not'; operand: Condition}
		| {kind: 'comparison'; field: FieldName; operator: ComparisonOperator; value: string | number};

/** A reading statement. */
export type ReadStatement = {
	kind: 'read';
	source: SourceName;
	where?: Condition;
	order: Array<FieldName & {descending: boolean}>;
	limit?: number;
};

/** An acting statement. */
export type ActStatement
	= | {kind: 'act'; verb: 'drain' | 'admit' | 'pause' | 'resume' | 'cancel'; target: TargetName; reason: string}
		| {kind: 'act'; verb: 'move'; target: TargetName; version: TargetName; reason: string};

export type Statement = ReadStatement | ActStatement;

/** Why a line cannot be carried out as it stands: where, and what was expected there. */
export type LanguageError = {
	column: number;
	message: string;
};

/** The answer to a reading statement. */
export type Table = {
	columns: string[];
	rows: Row[];
};

/** One row by field. */
export type Row = Record<string, string | number | boolean | undefined>;
