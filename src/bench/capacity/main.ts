/** `npm run docs:capacity`: generates the tables of docs/CAPACITY.md from the data file of the slopes benchmark. */
import {readFileSync, writeFileSync} from 'node:fs';
import {type SlopesData, slopesFile} from '../slopes/slopes-data.js';
import {capacityPage, withTables} from './capacity-page.js';

const data = JSON.parse(readFileSync(slopesFile, 'utf8')) as SlopesData;
writeFileSync(capacityPage, withTables(readFileSync(capacityPage, 'utf8'), data));
console.log(`wrote the tables of ${capacityPage} from ${slopesFile}`);
