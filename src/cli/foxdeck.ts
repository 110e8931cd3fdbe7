#!/usr/bin/env node
import { defineCommand, runMain } from 'citty';
import { nodeCommand } from './nodeCommand.js';
import { placeCommand } from './placeCommand.js';
import { operatorCommands } from './operatorCommands.js';
import { shellCommand } from './shellCommand.js';

const main = defineCommand({
  meta: { name: 'foxdeck', version: '0.1.0', description: 'A rollout scheduler for RL trainers.' },
  subCommands: { node: nodeCommand, ...operatorCommands, place: placeCommand, shell: shellCommand },
});

await runMain(main);
