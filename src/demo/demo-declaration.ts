/** The declaration that the demo, the checks over real processes and the benches run with, and what it calls a model service. */
import {fileURLToPath} from 'node:url';

/** The declaration file. */
export const demoDeclarationPath = fileURLToPath(new URL('../../examples/demo.yaml', import.meta.url));
/** The same with some changes, to be applied behind it. */
export const changedDemoDeclarationPath = fileURLToPath(new URL('../../examples/demo-changed.yaml', import.meta.url));

/** The model service for which engines are started. */
export const permitsModelService = {service: 'permits', model: 'permit-1', weightVersion: 'w1'} as const;
