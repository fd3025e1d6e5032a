/** Arrows between the rooms run one way; see CONTRIBUTING.md. */
module.exports = {
  forbidden: [
    {
      name: "no-circle",
      comment: "A circle makes two modules one: neither can be understood, tested or loaded alone.",
      severity: "error",
      from: {},
      to: { circular: true },
    },
    {
      name: "protocol-alone",
      comment: "What is on the wire depends on nothing of ours.",
      severity: "error",
      from: { path: "^packages/protocol/src" },
      to: { path: "^(src|test|packages/(?!protocol/))" },
    },
    {
      name: "store-on-protocol",
      severity: "error",
      from: { path: "^packages/store/src" },
      to: { path: "^(src|test|packages/(?!protocol/|store/))" },
    },
    {
      name: "emulator-on-store-and-protocol",
      severity: "error",
      from: { path: "^packages/emulator/src" },
      to: { path: "^(src|test|packages/(?!protocol/|store/|emulator/))" },
    },
    {
      name: "graphs-on-protocol",
      severity: "error",
      from: { path: "^packages/graphs/src" },
      to: { path: "^(src|test|packages/(?!protocol/|graphs/))" },
    },
    {
      name: "overload-asks-none",
      comment: "Whoever is asked by all must not need any of them.",
      severity: "error",
      from: { path: "^src/overload" },
      to: { path: "^(src/(?!overload/|platform/|settings/)|packages)" },
    },
    {
      name: "membership-decides-nothing-about-partitions",
      comment: "Who is there is known without knowing who leads what; the other way would be a circle of reasons.",
      severity: "error",
      from: { path: "^src/membership" },
      to: { path: "^src/(?!membership/|peers/|ledger/|platform/|settings/|calls/)" },
    },
    {
      name: "controller-through-one-entry",
      comment: "The controller loads a package through its entry alone, when it is asked for.",
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
