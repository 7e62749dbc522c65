import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/node_modules/', 'dist/', 'target/', 'bench-results/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // The loop is single-threaded and awaits in order on purpose in many places.
      'no-await-in-loop': 'off',
      // Iterating tables with for...of is the plain way in a supported runtime.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'n/hashbang': 'off',
      // The rule does not recognise the classes that modern-errors creates as errors.
      '@typescript-eslint/only-throw-error': 'off',
      'no-console': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'import-x/no-rename-default': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'no-bitwise': 'off',
      '@typescript-eslint/prefer-destructuring': 'off',
      'prefer-destructuring': 'off',
      'max-lines': ['error', { max: 350 }],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off', 'max-lines': 'off' },
  },
];
