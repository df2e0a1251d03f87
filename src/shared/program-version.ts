/** The version that every program answers to `--version`; a test keeps it equal to the one in package.json. */
export const programVersion = '0.1.0';
