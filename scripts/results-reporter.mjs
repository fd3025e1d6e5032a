// One JSON line for each test of the top level that ran (one that has others inside fails with them).
export default async function* results(source) {
  for await (const { type, data } of source)
    if (data.nesting === 0 && data.skip === undefined && (type === "test:pass" || type === "test:fail"))
      yield `${JSON.stringify({ name: data.name, passed: type === "test:pass" })}\n`;
}
