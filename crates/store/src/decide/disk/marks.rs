//! Purges, and how long discovery was heard: written down in their order.

use super::*;

impl Disk {
    /// A purge was told: to be written down before anything says that discovery was heard up to then.
    pub fn purged(&mut self, marks: impl IntoIterator<Item = Mark>, out: &mut dyn Outlet) {
        if self.unmarked.len() >= UNMARKED_MOST {
            self.mute = true;
            return;
        }
        self.unmarked.extend(marks.into_iter().map(Line::Purge));
        self.mark(out);
    }

    /// Discovery is known up to this Unix millisecond: every purge made until then was told.
    pub fn heard(&mut self, ms: u64) {
        self.heard = Some(self.heard.map_or(ms, |heard| heard.max(ms)));
    }

    pub(super) fn mark(&mut self, out: &mut dyn Outlet) {
        let known = matches!(self.phase, Phase::Recovering | Phase::Ready);
        // After a failure the next turn that is due tries again.
        let waits = self.mark_retry.failures() > 0 && !self.mark_due;
        if !known || waits || self.marking.is_some() || self.unmarked.is_empty() {
            return;
        }
        self.mark_due = false;
        let lines = std::mem::take(&mut self.unmarked);
        if out.mark(lines.clone()) {
            self.marking = Some(lines);
        } else {
            self.unmarked = lines;
        }
    }

    pub fn marked(&mut self, result: Result<(), Fault>, out: &mut dyn Outlet) {
        let lines = self.marking.take().unwrap_or_default();
        if result.is_err() {
            // Written down or not: it goes first again, and nothing is said of discovery until it is.
            self.counts.write_faults += 1;
            self.mark_retry.failed();
            let heard = |line: &Line| matches!(line, Line::Heard(_));
            let later = std::mem::replace(
                &mut self.unmarked,
                lines.into_iter().filter(|l| !heard(l)).collect(),
            );
            self.unmarked.extend(later);
            return;
        }
        self.mark_retry.succeeded();
        self.mark(out);
    }

    /// Writes down what waits; what failed before, once it is due again.
    pub(super) fn mark_on(&mut self, now: Duration, out: &mut dyn Outlet) {
        self.mark_due = self.mark_retry.failures() > 0 && self.mark_retry.is_due(now);
        self.mark(out);
    }

    pub(super) fn say_heard(&mut self, now: Duration, out: &mut dyn Outlet) {
        if let Some(heard) = self.heard.filter(|_| !self.mute) {
            self.heard_said = now;
            // Behind every purge told before: they are written down in this order, or together. An earlier
            // word that still waits says less.
            self.unmarked.retain(|line| !matches!(line, Line::Heard(_)));
            self.unmarked.push(Line::Heard(heard));
            self.mark(out);
        }
    }
}
