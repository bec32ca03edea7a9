import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['target/**', 'dist/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Named exports only, so that a name is the same wherever it is imported.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // Type-only cycles between a package's index and its files do no harm at run time.
      'import-x/no-cycle': 'off',
      // Path aliases of tsconfig.json are resolved by the type checker, which reports a missing file.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': 'off',
      // A switch over a tagged union returns in every case and ends in assertNever.
      'consistent-return': 'off',
      'default-case': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 400 }],
    },
  },
  {
    files: ['*.config.mjs'],
    rules: { 'import-x/no-default-export': 'off' },
  },
  {
    files: ['**/test/*.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' },
  },
];
