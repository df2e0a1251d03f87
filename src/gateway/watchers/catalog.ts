/** How the rows of the store are read as configuration and endpoints; one implementation for each spelling. */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../../shared/types.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** The weights that a model is to be served with. */
export type NamedWeights = {
	model: string;
	version: number;
};

/** What a row of the operators' table says. */
export type OperatorRow
	= | {kind: 'configuration'; configuration: RoutedConfiguration}
		| {kind: 'weights'; weights: NamedWeights}
		| {kind: 'other'};

/** The tables, and how their rows are read. A `Left` lists all that is wrong with a row. */
export interface Catalog {
	readonly operatorTable: string;
	readonly endpointTable: string;
	readOperatorRow(key: string, content: JsonValue | undefined): Either<string[], OperatorRow>;
	readEndpointRow(key: string, content: JsonValue | undefined): Either<string[], EndpointRecord>;
}
