import tseslint from 'typescript-eslint';

const oneValue = {
  create(context) {
    return {
      Program(program) {
        const values = program.body.filter((node) => node.type === 'ExportNamedDeclaration' && node.exportKind !== 'type' && node.declaration
          && !node.declaration.type.startsWith('TSType') && !node.declaration.type.startsWith('TSInterface'));
        const count = values.reduce((sum, node) => sum + (node.declaration.declarations?.length ?? 1), 0);
        if (count > 1) context.report({ node: program, message: `one exported value a file; this one has ${count}` });
      },
      ExportDefaultDeclaration(node) { context.report({ node, message: 'named exports only' }); },
    };
  },
};

export default tseslint.config(
  { ignores: ['src/gen/**', 'dist/**', 'target/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: { house: { rules: { 'one-value': oneValue } } },
    rules: {
      'max-lines': ['error', 400],
      'max-len': ['error', { code: 120, ignoreUrls: false }],
      'house/one-value': 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
    },
  },
);
