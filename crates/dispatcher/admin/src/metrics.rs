//! The metrics, as Prometheus text.

use crate::view::Levels;
use dispatcher_state::{Anomaly, StateSnapshot};
use membership::MemberState;
use metrics::{counter, describe_counter, describe_gauge, gauge};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};

/// Installs the recorder of metrics for the whole program. To be called before anything is counted.
///
/// # Errors
/// Another one was installed before.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    describe_platform_metrics();
    describe_own_metrics();
    Ok(handle)
}

/// The metrics that the platform names.
fn describe_platform_metrics() {
    describe_counter!(
        "svc_responses",
        "Jobs that have ended, by class and by what they were answered as"
    );
    describe_counter!(
        "svc_tries",
        "Attempts whose last byte went out to a target, by class"
    );
    describe_gauge!("svc_active", "Jobs taken and not yet ended");
    describe_gauge!("svc_pool_size", "Targets in the list");
    describe_gauge!(
        "svc_pool_ejected",
        "Listed targets that get nothing for now, by hand or by choice"
    );
}

/// The metrics of this program.
fn describe_own_metrics() {
    describe_counter!(
        "fordrelay_clients_gone_total",
        "Jobs whose clients left before an answer, by class"
    );
    describe_counter!(
        "fordrelay_fixed_responses_total",
        "Requests that were never taken, by status"
    );
    describe_counter!(
        "fordrelay_attempts_refused_total",
        "Attempts turned away, or not connected"
    );
    describe_counter!("fordrelay_jobs_over_total", "Jobs that are over, by class");
    describe_counter!(
        "fordrelay_jobs_in_time_total",
        "Jobs served in time, by class"
    );
    describe_counter!(
        "fordrelay_jobs_turned_away_total",
        "Jobs that a level turned away, by class"
    );
    describe_counter!(
        "fordrelay_odd_total",
        "Lists and datagrams that were odd, by what was odd about them"
    );
    describe_gauge!(
        "fordrelay_members_deaf_to_this",
        "Dispatchers that do not hear this one, as they say"
    );
    describe_gauge!(
        "fordrelay_view",
        "The number of the view, alike where the same dispatchers count as there"
    );
    describe_gauge!(
        "fordrelay_members",
        "Dispatchers, this one included, by what is believed of them"
    );
    describe_gauge!("fordrelay_level", "The level in force, 0 for full service");
    describe_gauge!(
        "fordrelay_level_figure",
        "Figures that levels are entered and left by"
    );
    describe_gauge!("fordrelay_own_slots", "Slots that own jobs hold at targets");
    describe_gauge!(
        "fordrelay_targets",
        "Ready targets, by kind, and whether they answer"
    );
}

/// Records the snapshot in the metrics, with classes of these names. Their number bounds the lines.
pub(crate) fn export(snapshot: &StateSnapshot, classes: &[String]) {
    export_classes(snapshot, classes);
    for anomaly in Anomaly::ALL {
        counter!("fordrelay_odd_total", "what" => anomaly.as_str())
            .absolute(snapshot.counts.anomalies(anomaly));
    }
    export_members(snapshot);
    gauge!("svc_active").set(snapshot.counts.active() as f64);
    gauge!("svc_pool_size").set(snapshot.listed as f64);
    gauge!("svc_pool_ejected").set(snapshot.ejected as f64);
    export_policy(snapshot, classes);
    export_levels(snapshot, classes);
}

fn export_classes(snapshot: &StateSnapshot, classes: &[String]) {
    for (name, class) in classes.iter().zip(&snapshot.counts.classes) {
        let results = [
            ("ok", class.ok),
            ("shed", class.shed),
            ("errors", class.errors),
        ];
        for (result, count) in results {
            counter!("svc_responses", "kind" => name.clone(), "result" => result).absolute(count);
        }
        counter!("svc_tries", "kind" => name.clone()).absolute(class.tries);
        counter!("fordrelay_clients_gone_total", "class" => name.clone()).absolute(class.gone);
    }
}

fn export_members(snapshot: &StateSnapshot) {
    let Some(members) = &snapshot.members else {
        return;
    };
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    for state in states {
        let in_state = members
            .members
            .iter()
            .filter(|member| member.update.state == state);
        gauge!("fordrelay_members", "state" => state.as_str()).set(in_state.count() as f64);
    }
    let unreachable = members.members.iter().filter(|member| !member.reachable);
    gauge!("fordrelay_members_deaf_to_this").set(unreachable.count() as f64);
    gauge!("fordrelay_view").set(f64::from(members.view));
}

fn export_policy(snapshot: &StateSnapshot, classes: &[String]) {
    let figures = &snapshot.status.figures;
    counter!("fordrelay_attempts_refused_total").absolute(figures.refused);
    gauge!("fordrelay_own_slots").set(figures.own);
    for (name, class) in classes.iter().zip(&figures.classes) {
        counter!("fordrelay_jobs_over_total", "class" => name.clone()).absolute(class.over);
        counter!("fordrelay_jobs_in_time_total", "class" => name.clone()).absolute(class.in_time);
        counter!("fordrelay_jobs_turned_away_total", "class" => name.clone())
            .absolute(class.rejected_by_level);
    }
    for kind in &figures.kinds {
        for (answers, count) in [("yes", kind.responsive), ("no", kind.unresponsive)] {
            let labels = [
                ("kind", kind.kind.to_string()),
                ("answers", answers.to_owned()),
            ];
            gauge!("fordrelay_targets", &labels).set(count);
        }
    }
}

fn export_levels(snapshot: &StateSnapshot, classes: &[String]) {
    let Some(levels) = Levels::new(&snapshot.status, classes) else {
        return;
    };
    gauge!("fordrelay_level").set(levels.rank as f64);
    for figure in levels.figures {
        let labels = [
            ("figure", figure.figure),
            ("class", figure.class.unwrap_or_default()),
        ];
        gauge!("fordrelay_level_figure", &labels).set(figure.value.unwrap_or(0.0));
    }
}
