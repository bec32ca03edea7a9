const { reporters, Runner } = require('mocha');

/** Mocha's spec report, followed by one line with the counts of results. */
class CountingReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats;
      process.stdout.write(`${passes} passed, ${failures} failed, ${pending} skipped\n`);
    });
  }
}

module.exports = CountingReporter;
