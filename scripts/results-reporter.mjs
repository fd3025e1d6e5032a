// One JSON line for each test of the top level (one that has others inside fails with them).
export default async function* results(source) {
  for await (const { type, data } of source)
    if (data.nesting === 0 && (type === "test:pass" || type === "test:fail"))
      // What is skipped has not been seen to work.
      yield `${JSON.stringify({ name: data.name, passed: type === "test:pass" && data.skip === undefined })}\n`;
}
