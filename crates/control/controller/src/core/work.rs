//! Working off what the state machines want done.

use super::{ControllerCore, Effect, WriteTicket};
use crate::bootstrap::{Bootstrap, BootstrapEffect};
use crate::frame_kind::{BOOTSTRAP, CHAIN_REPLICATION, VIEW_AGREEMENT};
use bytes::Bytes;
use chain_replication::{Member, Millis};
use replicated_state::RELAY;
use slog::info;
use std::net::SocketAddr;

/// Rounds in which the state machines may answer each other at one input; what is left waits for
/// the next input.
const MAX_ROUNDS: usize = 64;

impl ControllerCore {
    /// Works off what the state machines want done, until they want nothing more; then answers
    /// calls for which what they wait for has become true.
    pub(super) fn work_off_effects(&mut self, now: Millis) {
        for _ in 0..MAX_ROUNDS {
            // All of them, in this order; none may be skipped because another one worked.
            let worked = [
                self.work_off_bootstrap(now),
                self.work_off_agreement(now),
                self.work_off_chain(now),
                self.work_off_state_table(now),
                self.work_off_run_records(now),
            ];
            if !worked.contains(&true) {
                break;
            }
        }
        self.advance_config_activation(now);
        self.answer_pending(now);
        self.send_state_table();
    }

    /// Whether there was anything to do. The bootstrap ends once a view is known.
    fn work_off_bootstrap(&mut self, now: Millis) -> bool {
        if self.agreement.current_view().is_some() {
            self.bootstrap = None;
        }
        let effects = self
            .bootstrap
            .as_mut()
            .map(Bootstrap::take_effects)
            .unwrap_or_default();
        let worked = !effects.is_empty();
        for effect in effects {
            match effect {
                BootstrapEffect::Send { to, message } => self.send(to, BOOTSTRAP, message.encode()),
                BootstrapEffect::Write { ticket, record } => {
                    self.write(WriteTicket::Bootstrap(ticket), record);
                }
                BootstrapEffect::Completed(value) => {
                    info!(self.log, "cluster bootstrapped"; "members" => addresses(&value.view.members));
                    let body = view_agreement::MessageBody::Chosen { value };
                    let message = view_agreement::Message {
                        from: self.me.id,
                        body,
                    };
                    self.agreement.handle_message(now, self.me.addr, message);
                }
            }
        }
        worked
    }

    fn work_off_agreement(&mut self, now: Millis) -> bool {
        let effects = self.agreement.take_effects();
        let worked = !effects.is_empty();
        for effect in effects {
            match effect {
                view_agreement::Effect::Send { to, message } => {
                    self.send(to, VIEW_AGREEMENT, message.encode())
                }
                view_agreement::Effect::Write { ticket, record } => {
                    self.write(WriteTicket::ViewAgreement(ticket), record);
                }
                view_agreement::Effect::ViewChosen(next) => self.install_view(now, &next),
                view_agreement::Effect::ViewConfirmed { token, is_current } => {
                    self.view_confirmed(token, is_current)
                }
            }
        }
        worked
    }

    fn work_off_chain(&mut self, now: Millis) -> bool {
        let effects = self.chain.take_effects();
        let worked = !effects.is_empty();
        for effect in effects {
            match effect {
                // Without a disk it has no part in the chain.
                chain_replication::Effect::Send { .. } if !self.disk_health.is_writable() => {}
                chain_replication::Effect::Send { to, message } => {
                    self.send(to, CHAIN_REPLICATION, message.encode())
                }
                chain_replication::Effect::Write { ticket, record } => {
                    self.write(WriteTicket::Chain(ticket), record.encode());
                }
                chain_replication::Effect::Committed { .. } => self.publish_committed(now),
                chain_replication::Effect::SnapshotInstalled => {
                    info!(self.log, "control state replaced by snapshot");
                    // What was read from the state before may never have been committed.
                    self.placement = None;
                }
            }
        }
        worked
    }

    fn work_off_state_table(&mut self, now: Millis) -> bool {
        let sent = self.send_state_table();
        let changed = self.state_table.take_changed_keys();
        let worked = sent || !changed.is_empty();
        for key in changed {
            self.state_entry_changed(now, &key);
        }
        worked
    }

    fn send_state_table(&mut self) -> bool {
        let messages = self.state_table.take_messages();
        let worked = !messages.is_empty();
        for (to, message) in messages {
            self.send(to, RELAY, message.encode());
        }
        worked
    }

    pub(super) fn send(&mut self, to: SocketAddr, kind: u16, body: Bytes) {
        self.effects.push(Effect::Send { to, kind, body });
    }

    pub(super) fn write(&mut self, ticket: WriteTicket, record: Bytes) {
        self.effects.push(Effect::Write { ticket, record });
    }
}

/// The IP addresses of members, for the log.
pub(super) fn addresses(members: &[Member]) -> String {
    members
        .iter()
        .map(|m| m.addr.ip().to_string())
        .collect::<Vec<_>>()
        .join(",")
}
