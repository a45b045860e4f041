//! Calls about the configuration.

use super::{under_repair, Answer, ChainEnd, Outcome};
use crate::call::Response;
use crate::control_state::{digest, Command, ConfigChange};
use crate::core::pending::Condition;
use crate::core::ControllerCore;
use chain_replication::Millis;
use route_config::Config;
use slog::info;

impl ControllerCore {
    pub(super) fn replace_config(&mut self, now: Millis, base_version: u64, body: &[u8]) -> Answer {
        self.require_end(now, ChainEnd::Head, "/-/config/replace")?;
        if !self.persistence.is_writable() {
            return Err(Response::error(503, 1316, "the disk here takes no writes"));
        }
        if !self.can_commit() || !self.has_room_to_wait() {
            return Err(under_repair());
        }
        let digest = digest(body);
        let state = self.chain.state_machine();
        let number = self.chain.last_received();
        if let Some(version) = state.accepted_version(base_version, &digest) {
            let change = ConfigChange {
                base_version,
                version,
                digest,
            };
            return Ok(Outcome::WaitFor(Condition::ConfigApplied {
                change,
                number,
            }));
        }
        if !state.remembers_changes_on(base_version) {
            let message = "the version that it builds on is too old to say whether it was taken";
            return Err(Response::error(503, 1315, message));
        }
        if base_version != state.config_version() {
            let condition = Condition::ConflictCommitted {
                base_version,
                digest,
                number,
            };
            return Ok(Outcome::WaitFor(condition));
        }
        let version = self.check_config(body)?;
        let change = ConfigChange {
            base_version,
            version,
            digest,
        };
        let command = Command::ReplaceConfig {
            change,
            body: body.to_vec(),
        }
        .encode();
        let number = self.chain.propose(now, command).ok_or_else(under_repair)?;
        info!(self.log, "configuration proposed"; "gen" => version, "base" => base_version,
            "number" => number);
        Ok(Outcome::WaitFor(Condition::ConfigApplied {
            change,
            number,
        }))
    }

    /// The version of this configuration, if it is valid and may follow the newest one.
    fn check_config(&self, body: &[u8]) -> Result<u64, Response> {
        let newest = self.chain.state_machine().config_version();
        let checked =
            Config::read(body).and_then(|config| config.check_follows(newest).map(|()| config.gen));
        checked.map_err(|error| {
            info!(self.log, "configuration rejected"; "code" => error.code(), "why" => %error);
            Response::error(400, error.code(), &error.to_string())
        })
    }

    pub(super) fn get_config(&mut self, now: Millis) -> Answer {
        self.require_end(now, ChainEnd::Tail, "/-/config/get")?;
        if !self.has_room_to_wait() || !self.chain.is_active() {
            return Err(under_repair());
        }
        let token = self.agreement.confirm_view(now);
        let number = self.chain.last_received();
        Ok(Outcome::WaitFor(Condition::ReadConfirmed {
            token,
            confirmed: false,
            number,
        }))
    }
}
