//! Calls about the configuration.

use super::{under_repair, Answer, ChainEnd, Outcome};
use crate::call::Response;
use crate::control_state::{digest, Command, ConfigChange};
use crate::core::pending::{Condition, ReadQuery};
use crate::core::ControllerCore;
use chain_replication::Millis;
use route_config::Config;
use slog::info;

impl ControllerCore {
    pub(super) fn replace_config(&mut self, now: Millis, base_version: u64, body: &[u8]) -> Answer {
        self.require_end(now, ChainEnd::Head, "/-/config/replace")?;
        if !self.disk_health.is_writable() {
            return Err(Response::error(503, 1316, "the disk here takes no writes"));
        }
        if !self.can_commit() || !self.may_wait() {
            return Err(under_repair());
        }
        let digest = digest(body);
        if let Some(answer) = self.settled_already(base_version, digest) {
            return answer;
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
        let number = self.chain.propose(command).ok_or_else(under_repair)?;
        info!(self.log, "configuration proposed"; "gen" => version, "base" => base_version,
            "number" => number);
        Ok(Outcome::WaitFor(Condition::ConfigApplied {
            change,
            number,
        }))
    }

    /// What becomes of a change that was accepted before, is too old to tell, or lost to another
    /// one; none if it is new.
    fn settled_already(&self, base_version: u64, digest: [u8; 32]) -> Option<Answer> {
        let state = self.chain.state_machine();
        let number = self.chain.last_received();
        if let Some(version) = state.accepted_version(base_version, &digest) {
            let change = ConfigChange {
                base_version,
                version,
                digest,
            };
            return Some(Ok(Outcome::WaitFor(Condition::ConfigApplied {
                change,
                number,
            })));
        }
        if !state.remembers_changes_on(base_version) {
            let message = "the version that it builds on is too old to say whether it was taken";
            return Some(Err(Response::error(503, 1315, message)));
        }
        if base_version != state.config_version() {
            let condition = Condition::ConflictCommitted {
                base_version,
                digest,
                number,
            };
            return Some(Ok(Outcome::WaitFor(condition)));
        }
        None
    }

    /// The version of this configuration, if it is valid and may follow the newest one.
    fn check_config(&self, body: &[u8]) -> Result<u64, Response> {
        let newest = self.chain.state_machine().config_version();
        let checked = Config::read(body)
            .and_then(|config| config.check_follows(newest).map(|()| config.version));
        checked.map_err(|error| {
            info!(self.log, "configuration rejected"; "code" => error.code(), "why" => %error);
            Response::error(400, error.code(), &error.to_string())
        })
    }

    pub(super) fn get_config(&mut self, now: Millis) -> Answer {
        self.require_end(now, ChainEnd::Tail, "/-/config/get")?;
        if !self.may_wait() || !self.chain.is_active() {
            return Err(under_repair());
        }
        let token = self.agreement.confirm_view(now);
        let number = self.chain.last_received();
        Ok(Outcome::WaitFor(Condition::ReadConfirmed {
            query: ReadQuery::Config,
            token,
            confirmed: false,
            number,
        }))
    }
}
