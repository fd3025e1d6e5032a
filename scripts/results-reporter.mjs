// Reporter for node:test that writes one JSON line for each top-level test that ran. A test fails with its subtests, so these
// are left out.
export default async function* reportResults(source) {
  for await (const { type, data } of source)
    if (data.nesting === 0 && data.skip === undefined && (type === "test:pass" || type === "test:fail"))
      yield `${JSON.stringify({ name: data.name, passed: type === "test:pass" })}\n`;
}
