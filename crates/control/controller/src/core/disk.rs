//! The disk as the core sees it: whether it can persist, what is synced, and what a compaction has
//! to keep.

use super::{ControllerCore, WriteTicket};
use crate::bootstrap::Bootstrap;
use crate::journal::DiskUsage;
use crate::startup::RecordKind;
use crate::time::Time;
use bytes::Bytes;
use chain_replication::Millis;
use slog::{info, warn};
use write_ahead_log::DiskStatus;

impl ControllerCore {
    /// How the disk is; to be called with each tick and after each sync. Until it counts as able, a
    /// controller votes and acknowledges nothing.
    pub fn update_disk_state(&mut self, now: Millis, disk: DiskStatus) {
        self.disk_backlogged = disk.backlogged;
        if !self.disk_health.update(now, disk) {
            return;
        }
        let able = self.disk_health.is_writable();
        self.agreement.set_disk_writable(able);
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.set_disk_writable(able);
        }
        self.last_heartbeat_at = None;
        if able {
            info!(self.log, "disk writable"; "code" => 1404);
        } else {
            let waits_ms = disk
                .pending_since
                .map_or(0, |since| now.saturating_sub(since));
            warn!(self.log, "disk not writable"; "code" => 1403, "refuses" => disk.failing,
                "waits_ms" => waits_ms, "backlogged" => disk.backlogged);
        }
    }

    /// These writes are on disk.
    pub fn handle_synced(&mut self, time: Time, writes: &[WriteTicket]) {
        let now = time.now;
        self.unix_ms = time.unix_ms;
        for ticket in writes {
            match *ticket {
                WriteTicket::ViewAgreement(ticket) => self.agreement.handle_synced(now, ticket),
                WriteTicket::Chain(ticket) => self.chain.handle_synced(now, ticket),
                WriteTicket::RunRecords(ticket) => self.run_records_synced(ticket),
                WriteTicket::Bootstrap(ticket) => {
                    if let Some(bootstrap) = &mut self.bootstrap {
                        bootstrap.synced(now, ticket);
                    }
                }
            }
        }
        self.after_input(now);
        self.work_off_effects(now);
    }

    /// Records that hold all that counts, in place of all written before but the initial members:
    /// of a bootstrap under way, then of the agreement on views, then of the chain, then of runs.
    pub fn snapshot_records(&self) -> Vec<(RecordKind, Bytes)> {
        let bootstrap = self.bootstrap.as_ref().map(Bootstrap::snapshot_records);
        let bootstrap = bootstrap.unwrap_or_default().into_iter();
        let agreement = self.agreement.snapshot_records().into_iter();
        let chain = self
            .chain
            .snapshot_records()
            .into_iter()
            .map(|record| record.encode());
        bootstrap
            .map(|record| (RecordKind::Bootstrap, record))
            .chain(agreement.map(|record| (RecordKind::ViewAgreement, record)))
            .chain(chain.map(|record| (RecordKind::Chain, record)))
            .chain(self.run_record_snapshot())
            .collect()
    }

    /// What the event loop measured, for those who ask for the status: the use of the disk, and
    /// connections that were refused.
    pub fn record_usage(&mut self, disk: DiskUsage, rejected_connections: u64) {
        self.disk_usage = disk;
        self.rejections.connections = rejected_connections;
    }
}
