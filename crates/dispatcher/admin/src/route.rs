//! The table of calls, by method and path. No I/O here.

use percent_encoding::percent_decode_str;

/// The longest name of a target, in bytes.
const MAX_TARGET_BYTES: usize = 256;

/// Whether a target gets jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetRule {
    /// It is left out.
    Disable,
    /// It takes part again.
    Enable,
}

/// A call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Whether jobs are served here.
    Ready,
    /// The metrics.
    Metrics,
    /// The level of service.
    Levels,
    /// The state of the other dispatchers.
    Members,
    /// The maintenance plan and its progress.
    Maintenance,
    /// Submits a plan, as the query says.
    SubmitPlan,
    /// Cancels the plan.
    CancelPlan,
    /// The work on a target is done, as the query says.
    TargetWorkDone,
    /// Forces a level, as the query says.
    ForceLevel,
    /// Leaves a target out, or has it back.
    OverrideTarget {
        /// Its name.
        target: String,
        /// Which of both.
        rule: TargetRule,
    },
}

/// Why there is no such call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No call has this path.
    #[error("no such path")]
    UnknownPath,
    /// The call of this path has another method.
    #[error("only {0}")]
    Method(&'static str),
    /// The path is malformed.
    #[error("{0}")]
    Malformed(&'static str),
}

/// The call of this method and path.
///
/// # Errors
/// There is none.
pub fn route(method: &str, path: &str) -> Result<Route, RouteError> {
    let (expected, route) = match path {
        "/-/ready" => ("GET", Route::Ready),
        "/-/metrics" | "/metrics" => ("GET", Route::Metrics),
        "/levels" => ("GET", Route::Levels),
        "/maintenance" if method == "POST" => ("POST", Route::SubmitPlan),
        "/maintenance" => ("GET", Route::Maintenance),
        "/maintenance/cancel" => ("POST", Route::CancelPlan),
        "/maintenance/done" => ("POST", Route::TargetWorkDone),
        "/members" => ("GET", Route::Members),
        "/levels/force" => ("POST", Route::ForceLevel),
        _ => ("PUT", override_target(path)?),
    };
    if method == expected {
        Ok(route)
    } else {
        Err(RouteError::Method(expected))
    }
}

fn override_target(path: &str) -> Result<Route, RouteError> {
    let rest = path
        .strip_prefix("/-/runners/")
        .and_then(|rest| rest.split_once('/'));
    let (id, verb) = rest.ok_or(RouteError::UnknownPath)?;
    let rule = match verb {
        "disable" => TargetRule::Disable,
        "enable" => TargetRule::Enable,
        _ => return Err(RouteError::UnknownPath),
    };
    let target = percent_decode_str(id)
        .decode_utf8()
        .map_err(|_| RouteError::Malformed("the id is no UTF-8"))?;
    if target.is_empty() || target.len() > MAX_TARGET_BYTES {
        return Err(RouteError::Malformed("the id must be 1 to 256 bytes"));
    }
    Ok(Route::OverrideTarget {
        target: target.into_owned(),
        rule,
    })
}
