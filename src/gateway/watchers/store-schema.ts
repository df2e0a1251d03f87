/** Decodes the store's rows into configurations, named weights and endpoints; one implementation per row format. */
import {type Either} from 'purify-ts/Either';
import {type JsonValue} from '../../shared/types.js';
import {type RoutedConfiguration} from '../../shared/routed-configuration.js';
import {type EndpointRecord} from '../../shared/endpoint-record.js';

/** The weight version that an operator named for a model: the one that its engines are to serve. */
export type NamedWeights = {
	model: string;
	version: number;
};

/** A decoded row of the operators' table. */
export type OperatorRow
	= | {kind: 'configuration'; configuration: RoutedConfiguration}
		| {kind: 'weights'; weights: NamedWeights}
		| {kind: 'evacuation'; dataCentre: string}
		| {kind: 'other'};

/** The names of the tables, and decoders for their rows. A `Left` lists everything that is wrong with a row. */
export interface StoreSchema {
	readonly operatorTable: string;
	readonly endpointTable: string;
	readOperatorRow(key: string, content: JsonValue | undefined): Either<string[], OperatorRow>;
	readEndpointRow(key: string, content: JsonValue | undefined): Either<string[], EndpointRecord>;
}
