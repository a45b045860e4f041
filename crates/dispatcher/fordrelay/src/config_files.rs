//! The configuration files of a dispatcher: the platform's and the operators'.

use crate::error::StartError;
use crate::log::Logs;
use degradation::DegradationConfig;
use dispatcher_settings::operator::OperatorConfig;
use dispatcher_settings::platform::Config;
use std::path::PathBuf;
use std::sync::Arc;

/// Where the configuration files are.
#[derive(Debug, Clone)]
pub struct ConfigFiles {
    /// The platform's file; without one, the file that `ROUTER_CONFIG` names.
    pub config: Option<PathBuf>,
    /// The operators' file; without one, the default of every key in it.
    pub operator: Option<PathBuf>,
}

/// The contents of both files, read and checked.
pub struct LoadedConfig {
    /// The platform's.
    pub platform: Config,
    /// The operators'.
    pub operator: OperatorConfig,
    /// The degradation levels of the operators' file.
    pub levels: Option<Arc<DegradationConfig>>,
}

impl ConfigFiles {
    /// Reads both files. Nothing of either takes effect where one of them is faulty.
    ///
    /// # Errors
    /// The first fault, with its file and key.
    pub fn load(&self) -> Result<LoadedConfig, StartError> {
        let platform = Config::load(self.config.as_deref())?;
        let Some(path) = &self.operator else {
            return Ok(LoadedConfig {
                platform,
                operator: OperatorConfig::default(),
                levels: None,
            });
        };
        let (operator, source) = OperatorConfig::load(path)?;
        Logs::filter(&operator.log).map_err(|e| source.fault("log.level", e))?;
        let levels = operator.degradation(&platform.classes, &source)?;
        Ok(LoadedConfig {
            platform,
            operator,
            levels: levels.map(Arc::new),
        })
    }
}
