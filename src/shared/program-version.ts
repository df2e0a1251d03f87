/** The version that every program prints for `--version`; a test compares it with the one in package.json. */
export const programVersion = '0.1.0';
