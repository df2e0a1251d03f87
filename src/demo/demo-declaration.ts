/** The declaration files that the demo, the checks over real processes and the benches use, and one of their model services. */
import {fileURLToPath} from 'node:url';

/** The declaration file. */
export const demoDeclarationPath = fileURLToPath(new URL('../../examples/demo.yaml', import.meta.url));
/** A changed version of it, which is applied after it. */
export const changedDemoDeclarationPath = fileURLToPath(new URL('../../examples/demo-changed.yaml', import.meta.url));

/** The model service that the started engines serve. */
export const permitsModelService = {service: 'permits', model: 'permit-1', weightVersion: 'w1'} as const;
