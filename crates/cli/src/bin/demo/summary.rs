//! What happened, one line a step, and whether all was as expected.

use std::fmt;
use std::time::Duration;

/// One step of the demo, as it went.
pub struct Step {
    /// What was done.
    pub action: String,
    /// How long it took.
    pub elapsed: Duration,
    /// What came of it.
    pub observed: String,
    /// What must come of it.
    pub expected: &'static str,
    /// Whether it did.
    pub succeeded: bool,
}

/// All steps, in order.
#[derive(Default)]
pub struct Summary {
    /// The steps so far.
    pub steps: Vec<Step>,
}

impl Summary {
    /// True: every step ended as expected.
    pub fn succeeded(&self) -> bool {
        self.steps.iter().all(|step| step.succeeded)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<44} {:>10}  result", "step", "time")?;
        for step in &self.steps {
            let ms = step.elapsed.as_secs_f64() * 1e3;
            writeln!(f, "{:<44} {ms:>7.1} ms  {}", step.action, step.observed)?;
            if !step.succeeded {
                writeln!(f, "    NOT AS EXPECTED: {}", step.expected)?;
            }
        }
        let succeeded = self.steps.iter().filter(|step| step.succeeded).count();
        let total = self.steps.len();
        let verdict = if self.succeeded() { "ok" } else { "failed" };
        write!(
            f,
            "demo: {verdict}, {succeeded} of {total} steps as expected"
        )
    }
}
