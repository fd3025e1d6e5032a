/** Allowed dependencies between modules and packages; CONTRIBUTING.md describes the architecture. */
module.exports = {
  forbidden: [
    {
      name: "no-circular",
      comment: "Modules that depend on each other cannot be understood, tested or loaded separately.",
      severity: "error",
      from: {},
      to: { circular: true },
    },
    {
      name: "protocol-independent",
      comment: "The wire protocol depends on no other code of this project.",
      severity: "error",
      from: { path: "^packages/protocol/src" },
      to: { path: "^(src|test|packages/(?!protocol/))" },
    },
    {
      name: "store-depends-only-on-protocol",
      severity: "error",
      from: { path: "^packages/store/src" },
      to: { path: "^(src|test|packages/(?!protocol/|store/))" },
    },
    {
      name: "emulator-depends-only-on-store-and-protocol",
      severity: "error",
      from: { path: "^packages/emulator/src" },
      to: { path: "^(src|test|packages/(?!protocol/|store/|emulator/))" },
    },
    {
      name: "graphs-depends-only-on-protocol",
      severity: "error",
      from: { path: "^packages/graphs/src" },
      to: { path: "^(src|test|packages/(?!protocol/|graphs/))" },
    },
    {
      name: "overload-independent",
      comment: "All components query the overload protection, so it must not depend on any of them.",
      severity: "error",
      from: { path: "^src/overload" },
      to: { path: "^(src/(?!overload/|platform/|settings/)|packages)" },
    },
    {
      name: "membership-independent-of-ownership",
      comment: "The set of live controllers is determined without knowledge of partition ownership, which is decided from it.",
      severity: "error",
      from: { path: "^src/membership" },
      to: { path: "^src/(?!membership/|peers/|ledger/|platform/|settings/|calls/)" },
    },
    {
      name: "packages-only-through-entry",
      comment: "The controller loads a package only on demand and only through its entry module.",
      severity: "error",
      from: { path: "^src" },
      to: { path: "^packages/(?!protocol/)", pathNot: "^packages/[^/]+/src/entry\\.ts$" },
    },
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: "tsconfig.json" },
    enhancedResolveOptions: {
      exportsFields: ["exports"],
      conditionNames: ["import", "node", "default", "types"],
      extensions: [".ts", ".js"],
    },
  },
};
