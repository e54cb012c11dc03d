//! The summary: one line per step, and whether all steps ended as expected.

use std::fmt;
use std::time::Duration;

/// The result of one step.
pub struct Step {
    /// What was done.
    pub action: String,
    /// How long it took.
    pub elapsed: Duration,
    /// What happened.
    pub observed: String,
    /// What should happen.
    pub expected: &'static str,
    /// Whether it happened.
    pub succeeded: bool,
}

/// All steps, in order.
#[derive(Default)]
pub struct Summary {
    /// The steps so far.
    pub steps: Vec<Step>,
}

impl Summary {
    /// Whether every step ended as expected.
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
