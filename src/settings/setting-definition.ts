/**
 * The definition of a program's setting: a flag, the equivalent environment variable, a default and a parser. `--help`, the
 * checks at start and docs/SETTINGS.md are all generated from the definitions.
 */
import {type Either} from 'purify-ts/Either';

/** One setting. `Value` is the type of the parsed value. */
export type SettingDefinition<Value> = {
	/** The flag without its dashes, for example `table-address`. The variable is `SAVORYGAUGE_TABLE_ADDRESS`. */
	flag: string;
	/** The placeholder for the value in `--help`, for example `IP:port`. */
	valueName: string;
	description: string;
	/** The text used if neither flag nor variable is given. A setting without a default is required. */
	defaultText?: string;
	/** A secret is never printed, and should be given by its variable. */
	secret?: boolean;
	/** Returns the value, or the message for the finding. */
	parse(text: string): Either<string, Value>;
};

/** The settings of a program, by their names in the code. */
export type SettingDefinitions = Record<string, SettingDefinition<unknown>>;

/** The parsed values, by the names of their definitions. */
export type SettingValues<Definitions extends SettingDefinitions> = {
	[Name in keyof Definitions]: Definitions[Name] extends SettingDefinition<infer Value> ? Value : never;
};
