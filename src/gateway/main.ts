#!/usr/bin/env node
/** The program `savorygauge-gateway`: the routed data path on the platform. */
import {runGateway} from './run-gateway.js';

await runGateway();
