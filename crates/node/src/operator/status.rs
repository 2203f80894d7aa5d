//! Status of this host and what it knows of other hosts.

use std::{collections::BTreeMap, time::Duration};

use actix_web::{HttpResponse, http::StatusCode, web::Data};
use comfreyway_core::{
    config::{Class, Document},
    ids::{ClassName, HostName},
    request::Target,
};
use comfreyway_proto::operator::{
    ClassReport, ConfigReport, HostVersion, PoolReport, StatusReport,
};

use crate::{
    config::ConfigStatus,
    control::{ControlStatus, PoolStatus},
    events::{Event, log_event},
    trace::ClassTally,
};

use super::{OperatorState, auth::problem};

pub(super) async fn status(state: Data<OperatorState>) -> HttpResponse {
    let control = state.control.status().await.ok();
    let (Some(control), Some(config)) = (control, state.config.status().await) else {
        return stopping_problem();
    };
    let document = state.config.document().borrow().clone();
    HttpResponse::Ok().json(StatusReport {
        host: state.host.to_string(),
        phase: (state.phase)(),
        waiting: control.waiting as u64,
        in_progress: control.in_progress as u64,
        config: config_report(&state.host, config),
        pools: pool_reports(&control),
        classes: class_reports(&document, &state.trace.tallies()),
    })
}

pub(super) async fn config_status(state: Data<OperatorState>) -> HttpResponse {
    match state.config.status().await {
        Some(config) => HttpResponse::Ok().json(config_report(&state.host, config)),
        None => stopping_problem(),
    }
}

/// Starts a planned stop of this host.
pub(super) async fn stop(state: Data<OperatorState>) -> HttpResponse {
    log_event!(Event::StopRequested);
    state.stop.notify_one();
    HttpResponse::Accepted().finish()
}

fn stopping_problem() -> HttpResponse {
    let detail = "the process is stopping; query another host with --server";
    problem(StatusCode::SERVICE_UNAVAILABLE, "no state", detail)
}

fn config_report(host: &HostName, status: ConfigStatus) -> ConfigReport {
    let own = HostVersion { host: host.to_string(), version: Some(status.version) };
    let peers = status.peers.into_iter();
    let peers = peers.map(|(peer, version)| HostVersion { host: peer.to_string(), version });
    let mut hosts: Vec<_> = std::iter::once(own).chain(peers).collect();
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    ConfigReport {
        version: status.version,
        ready: status.ready,
        store_reachable: status.store_reachable,
        hosts,
    }
}

fn pool_reports(control: &ControlStatus) -> Vec<PoolReport> {
    let report = |pool: &PoolStatus| PoolReport {
        pool: pool.pool.to_string(),
        owner: control.host.name.to_string(),
        epoch: pool.epoch.to_string(),
        waiting: pool.waiting as u64,
        in_progress: pool.in_progress as u64,
    };
    control.owned.iter().map(report).collect()
}

fn class_reports(
    document: &Document,
    tallies: &BTreeMap<ClassName, ClassTally>,
) -> Vec<ClassReport> {
    let mut classes: Vec<_> = document.classes.iter().collect();
    classes.sort_by_key(|(name, class)| (class.tier, *name));
    let tally = |name| tallies.get(name).copied().unwrap_or_default();
    classes.into_iter().map(|(name, class)| class_report(name, class, tally(name))).collect()
}

fn class_report(name: &ClassName, class: &Class, tally: ClassTally) -> ClassReport {
    let (first_token, between_tokens, whole) = match class.target {
        Target::Stream { first_token, between_tokens } => {
            (Some(first_token), Some(between_tokens), None)
        }
        Target::Whole(limit) => (None, None, Some(limit)),
    };
    let ms = |duration: Option<Duration>| duration.map(|d| d.as_secs_f64() * 1_000.0);
    ClassReport {
        name: name.to_string(),
        tier: class.tier.0,
        first_token_ms: ms(first_token),
        between_tokens_ms: ms(between_tokens),
        whole_answer_ms: ms(whole),
        idempotent: class.idempotent,
        cancellable: class.cancellable,
        answered: tally.answered,
        in_target: tally.in_target,
        not_run: tally.not_run,
        unknown: tally.unknown,
    }
}
