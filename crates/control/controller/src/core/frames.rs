//! Frames of other processes: decoded, and given to the state machine they are for.

use super::ControllerCore;
use crate::bootstrap::BootstrapMessage;
use crate::frame_kind::{
    BOOTSTRAP, CHAIN_REPLICATION, CONTROLLER_HEARTBEAT, RUN_RECORDS, VIEW_AGREEMENT,
};
use crate::heartbeat::ControllerHeartbeat;
use crate::rejections::StaleMessages;
use crate::run_record_message::{RunRecordError, RunRecordMessage};
use crate::time::Time;
use batch::wire::{Heartbeat, Message as _, HEARTBEAT};
use bytes::Bytes;
use chain_replication::{DecodeError, Millis};
use peer_transport::Peer;
use replicated_state::{RolloutReport, HELLO, RELAY, ROLLOUT_REPORT};
use slog::{info, warn};
use std::fmt::Display;
use std::net::SocketAddr;

/// Why a frame is rejected.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    #[error(transparent)]
    Control(#[from] DecodeError),
    #[error(transparent)]
    Relay(#[from] relay_tree::DecodeError),
    #[error(transparent)]
    Store(#[from] batch::wire::DecodeError),
    #[error(transparent)]
    Rollout(#[from] replicated_state::DecodeError),
    #[error(transparent)]
    RunRecords(#[from] RunRecordError),
    #[error("unknown kind")]
    UnknownKind,
}

impl ControllerCore {
    /// A frame of another process of the tier. One that can't be decoded is counted and changes
    /// nothing.
    pub fn handle_frame(&mut self, time: Time, from: &Peer, kind: u16, body: &Bytes) {
        let now = time.now;
        self.unix_ms = time.unix_ms;
        if let Err(error) = self.dispatch_frame(now, from, kind, body) {
            self.reject_frame(now, from, kind, &error);
        }
        self.after_input(now);
        self.work_off_effects(now);
    }

    fn dispatch_frame(
        &mut self,
        now: Millis,
        from: &Peer,
        kind: u16,
        body: &Bytes,
    ) -> Result<(), FrameError> {
        match kind {
            // What would be written can wait: others send it again.
            VIEW_AGREEMENT if self.disk_backlogged => {}
            CHAIN_REPLICATION if !self.disk_health.is_writable() => {}
            VIEW_AGREEMENT => {
                self.agreement.handle_message(
                    now,
                    from.addr,
                    view_agreement::Message::decode(body)?,
                );
            }
            CHAIN_REPLICATION => {
                self.chain.handle_message(
                    now,
                    from.addr,
                    chain_replication::Message::decode(body)?,
                );
            }
            RELAY => {
                let message = relay_tree::Message::decode(body)?;
                self.state_table.handle_message(now, from.addr, message);
            }
            CONTROLLER_HEARTBEAT => {
                self.controller_heartbeat(now, from, ControllerHeartbeat::decode(body)?);
            }
            BOOTSTRAP => {
                self.bootstrap_message(now, from.addr, BootstrapMessage::decode(body)?);
            }
            ROLLOUT_REPORT => {
                self.record_rollout_report(now, from, RolloutReport::decode(body)?);
            }
            RUN_RECORDS => {
                self.run_record_message(now, from, RunRecordMessage::decode(body)?);
            }
            HELLO => self.dispatchers.record_hello(now, from),
            HEARTBEAT => self.store_heartbeat(now, Heartbeat::decode(body)?),
            _ => return Err(FrameError::UnknownKind),
        }
        Ok(())
    }

    fn controller_heartbeat(&mut self, now: Millis, from: &Peer, heartbeat: ControllerHeartbeat) {
        let id = heartbeat.id;
        if self.peers.record_heartbeat(now, from.addr, heartbeat) {
            info!(self.log, "controller discovered"; "controller" => %from.addr, "id" => id,
                "node" => %from.node);
            self.controller_appeared(now, from.addr);
        }
    }

    fn store_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        let (addr, sent_ms) = (heartbeat.addr, heartbeat.sent_ms);
        let node = heartbeat.node.clone();
        if self.stores.record_heartbeat(now, heartbeat) {
            info!(self.log, "store discovered"; "store" => %node, "addr" => %addr);
        }
        self.grant_lease(now, addr, sent_ms);
    }

    fn bootstrap_message(&mut self, now: Millis, from: SocketAddr, message: BootstrapMessage) {
        match &mut self.bootstrap {
            Some(bootstrap) => bootstrap.handle_message(now, from, message),
            // There is a view already: whoever still bootstraps learns it.
            None => {
                let body = view_agreement::MessageBody::RequestView { newest_known: 0 };
                self.agreement
                    .handle_message(now, from, view_agreement::Message { from: 0, body });
            }
        }
    }

    fn reject_frame(&mut self, now: Millis, from: &Peer, kind: u16, error: &dyn Display) {
        self.rejections.frames += 1;
        if let Some(left_out) = self.rejections.log_limit.check(now, "frame") {
            warn!(self.log, "frame rejected"; "code" => 1401, "from" => %from.addr, "kind" => kind,
                "why" => %error, "left_out" => left_out);
        }
    }

    /// Messages that were ignored as stale since the start.
    pub(crate) fn stale_messages(&self) -> StaleMessages {
        StaleMessages {
            chain: self.chain.ignored_messages(),
            view: self.agreement.ignored_messages(),
            relay: self.state_table.ignored_messages(),
        }
    }

    pub(super) fn log_stale_messages(&mut self, now: Millis) {
        let stale = self.stale_messages();
        let changed = stale != self.rejections.logged_stale;
        if changed
            && self
                .rejections
                .log_limit
                .check(now, "stale messages")
                .is_some()
        {
            self.rejections.logged_stale = stale;
            info!(self.log, "stale messages ignored"; "code" => 1409, "chain" => stale.chain,
                "view" => stale.view, "relay" => stale.relay);
        }
    }

    /// After a frame or a sync: contact with a majority, and with it the duties of the head, may
    /// begin at once instead of at the next tick.
    pub(super) fn after_input(&mut self, now: Millis) {
        self.update_quorum_contact(now);
        if self.head_since.is_none() {
            self.lead(now);
        }
    }
}
