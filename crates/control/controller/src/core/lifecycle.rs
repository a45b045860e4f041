//! The end of a controller, and its settings while it runs.

use super::{ControllerCore, TICK_INTERVAL};
use crate::time::Time;
use chain_replication::{Member, Millis};
use slog::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use tier_settings::{Reload, Settings, SettingsError};
use view_agreement::ControllerView;

/// So long after SIGTERM a controller exits that no other can replace: callers have found others by
/// then.
const UNREPLACED_EXIT_DELAY: Millis = 1_200;
/// A controller that stops stays for so long after the view without it was chosen: the frames that
/// tell of it go out, and the others need not find out by themselves.
const HANDOVER_DELAY: Millis = 2 * TICK_INTERVAL;

/// The end of a controller.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    /// When it was told to stop.
    requested_at: Option<Millis>,
    /// Since when the others go on without this one.
    replaced_since: Option<Millis>,
}

impl Shutdown {
    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }
}

impl ControllerCore {
    /// SIGTERM: the others are told to go on without this one.
    pub fn begin_shutdown(&mut self, time: Time) {
        self.unix_ms = time.unix_ms;
        self.shutdown.requested_at.get_or_insert(time.now);
        self.last_heartbeat_at = None;
        info!(self.log, "shutting down");
        self.work_off_effects(time.now);
    }

    /// Whether this controller, which was told to stop, may exit. It may once the others go on
    /// without it: it is neither a member of the chain nor an acceptor, no call waits for its
    /// answer, and the others have been sent the view that says so. Where no other view is to be
    /// had, since there is no machine for its place or no majority, it may exit after
    /// `UNREPLACED_EXIT_DELAY`.
    pub fn may_exit(&self) -> bool {
        let Shutdown {
            requested_at,
            replaced_since,
        } = self.shutdown;
        let replaced = replaced_since.is_some_and(|at| self.last_tick_at >= at + HANDOVER_DELAY);
        let stopping_for = requested_at.map_or(0, |at| self.last_tick_at.saturating_sub(at));
        replaced || stopping_for >= UNREPLACED_EXIT_DELAY && self.view_plan.desired.is_none()
    }

    /// How long the platform waits between SIGTERM and SIGKILL, in milliseconds.
    pub fn termination_grace_ms(&self) -> u64 {
        self.settings.bounds.grace_ms
    }

    pub(super) fn note_replaced(&mut self, now: Millis) {
        let is_me = |m: &Member| m.id == self.me.id && m.addr == self.me.addr;
        let is_inside = |v: &ControllerView| v.view.members.iter().chain(&v.acceptors).any(is_me);
        let needed =
            !self.pending_calls.is_empty() || self.agreement.current_view().is_some_and(is_inside);
        let since = self.shutdown.replaced_since;
        self.shutdown.replaced_since = if needed { None } else { since.or(Some(now)) };
    }

    /// The settings file was read again: only what may change at run time is taken, and nothing of
    /// one that is not this process's, or invalid.
    pub fn reload_settings(&mut self, file: Result<Settings, SettingsError>) {
        match file.and_then(|file| self.settings.reload(&file)) {
            Ok(Reload {
                settings,
                restart_required,
                ..
            }) => {
                info!(self.log, "settings reloaded"; "peers" => settings.peers.len());
                if !restart_required.is_empty() {
                    warn!(self.log, "settings take effect at the next start"; "code" => 1406,
                        "keys" => restart_required.join(","));
                }
                self.settings = settings;
            }
            Err(error) => {
                warn!(self.log, "settings reload rejected"; "code" => 1405, "why" => %error);
            }
        }
    }

    /// Counts frames that are dropped before they come here.
    pub fn dropped_frames(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.rejections.dropped_frames)
    }
}
