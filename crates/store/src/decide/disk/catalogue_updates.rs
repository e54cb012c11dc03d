//! Writes purges and confirmations of discovery to the catalogue, in their order.

use super::*;

impl Disk {
    /// Queues a received purge for the catalogue, before any later confirmation of discovery.
    pub fn queue_purges(
        &mut self,
        records: impl IntoIterator<Item = PurgeRecord>,
        backend: &mut dyn DiskBackend,
    ) {
        if self.queued_lines.len() >= MAX_QUEUED_LINES {
            self.confirmations_stopped = true;
            return;
        }
        self.queued_lines
            .extend(records.into_iter().map(CatalogueLine::Purge));
        self.write_queued_lines(backend);
    }

    /// Discovery confirmed that every purge made up to this Unix millisecond was received.
    pub fn confirm_discovery_up_to(&mut self, ms: u64) {
        self.confirmed_up_to = Some(
            self.confirmed_up_to
                .map_or(ms, |confirmed| confirmed.max(ms)),
        );
    }

    pub(super) fn write_queued_lines(&mut self, backend: &mut dyn DiskBackend) {
        let is_open = matches!(self.phase, Phase::Recovering | Phase::Ready);
        // After a failure, the write is retried once its backoff has passed.
        let backing_off = self.catalogue_retry.failures() > 0 && !self.catalogue_retry_due;
        if !is_open || backing_off || self.lines_in_flight.is_some() || self.queued_lines.is_empty()
        {
            return;
        }
        self.catalogue_retry_due = false;
        let lines = std::mem::take(&mut self.queued_lines);
        if backend.write_catalogue(lines.clone()) {
            self.lines_in_flight = Some(lines);
        } else {
            self.queued_lines = lines;
        }
    }

    pub fn complete_catalogue_write(
        &mut self,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        let lines = self.lines_in_flight.take().unwrap_or_default();
        if result.is_err() {
            // It is unknown whether the lines were written: they are queued first again, without the
            // confirmation, which must not be written before them.
            self.counts.write_faults += 1;
            self.catalogue_retry.failed();
            let is_confirmation =
                |line: &CatalogueLine| matches!(line, CatalogueLine::ConfirmedUpTo(_));
            let newer_lines = std::mem::replace(
                &mut self.queued_lines,
                lines.into_iter().filter(|l| !is_confirmation(l)).collect(),
            );
            self.queued_lines.extend(newer_lines);
            return;
        }
        self.catalogue_retry.succeeded();
        self.write_queued_lines(backend);
    }

    /// Writes the queued lines; after a failure, once the backoff has passed.
    pub(super) fn retry_catalogue(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        self.catalogue_retry_due =
            self.catalogue_retry.failures() > 0 && self.catalogue_retry.is_due(now);
        self.write_queued_lines(backend);
    }

    pub(super) fn write_confirmation(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        if let Some(confirmed) = self.confirmed_up_to.filter(|_| !self.confirmations_stopped) {
            self.last_confirmation = now;
            // Queued behind every purge received before; lines are written in this order or together. It
            // replaces an earlier confirmation that is still queued.
            self.queued_lines
                .retain(|line| !matches!(line, CatalogueLine::ConfirmedUpTo(_)));
            self.queued_lines
                .push(CatalogueLine::ConfirmedUpTo(confirmed));
            self.write_queued_lines(backend);
        }
    }
}
