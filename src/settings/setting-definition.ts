/**
 * What a setting of a program is: a flag and an environment variable with one meaning, a default, and a check. The
 * definitions are the only source: `--help`, the checks at start and docs/SETTINGS.md all come from them.
 */
import {type Either} from 'purify-ts/Either';

/** One setting. `Value` is what the program gets. */
export type SettingDefinition<Value> = {
	/** The flag without its dashes, for example `table-address`. The variable is `SAVORYGAUGE_TABLE_ADDRESS`. */
	flag: string;
	/** What follows the flag in `--help`, for example `IP:port`. */
	valueName: string;
	description: string;
	/** The text used when neither flag nor variable is given; a setting without one is required. */
	defaultText?: string;
	/** A secret is never printed and should come by its variable. */
	secret?: boolean;
	/** Gives the value, or what is wrong with the text. */
	parse(text: string): Either<string, Value>;
};

/** The settings of a program by the name that its code uses. */
export type SettingDefinitions = Record<string, SettingDefinition<unknown>>;

/** The values that belong to some definitions. */
export type SettingValues<Definitions extends SettingDefinitions> = {
	[Name in keyof Definitions]: Definitions[Name] extends SettingDefinition<infer Value> ? Value : never;
};
