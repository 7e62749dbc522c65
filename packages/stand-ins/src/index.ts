export * from './store/index.js';
