//! Sets gauges from the state of the reducer when metrics are scraped.

use hazeltiller_engine::{admission, dissemination::convergence, reducer, replication, retry};

use crate::{byte_counts, link_shares, metrics};

const NO_LABELS: [&str; 0] = [];

/// Sets all gauges from the state.
///
/// Gauges with labels are cleared first, so that no values of removed targets or members remain.
pub fn update(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    update_targets(state, metrics);
    update_catalogue(state, metrics);
    update_members(state, metrics);
    update_group(state, metrics);
    update_rollouts(state, metrics);
    update_dependencies(state, metrics);
    update_link(state, metrics);
    update_returns(state, metrics);
    metrics.retry_budget.reset();
    let tunables = &state.settings.tunables.retry;
    let policy = retry::BudgetPolicy::for_retries(tunables, state.membership.node_count);
    for (service, _class, budget) in state.retry.budgets() {
        let gauge = metrics.retry_budget.with_label_values(&[service.as_str()]);
        gauge.add(budget.available(&policy, state.now) as i64);
    }
}

fn update_targets(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    metrics.running.reset();
    metrics.queued.reset();
    metrics.slots.reset();
    for name in state.membership.targets.keys() {
        let labels = [name.as_str()];
        let report = admission::load(state, name);
        let running = metrics.running.with_label_values(&labels);
        running.set(i64::from(report.in_flight));
        let queued = metrics.queued.with_label_values(&labels);
        queued.set(i64::from(report.queued));
        let slots = metrics.slots.with_label_values(&labels);
        slots.set(i64::from(report.slots));
    }
    metrics.signalling_targets.reset();
    for (_, report) in state.signals.reports() {
        let signals = [
            ("rate_limit", report.rate_limit.is_some()),
            ("leaving", report.is_leaving),
        ];
        for (signal, is_present) in signals {
            let gauge = metrics.signalling_targets.with_label_values(&[signal]);
            gauge.add(i64::from(is_present));
        }
    }
    metrics.targets.reset();
    for record in state.membership.present() {
        for target in &record.targets {
            let encoded =
                serde_json::to_value(target.state).expect("a target state is encoded as a string");
            let label = encoded
                .as_str()
                .expect("a target state is encoded as a string");
            let labels = [target.service.as_str(), label];
            metrics.targets.with_label_values(&labels).inc();
        }
    }
}

fn update_dependencies(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    let (tunables, now) = (&state.settings.tunables.dependencies, state.now);
    let permille = |share: f64| (share * 1000.0).round() as i64;
    metrics.dependency_refused.reset();
    for (route, share) in state.dependencies.refused_routes(tunables, now) {
        let gauge = metrics
            .dependency_refused
            .with_label_values(&[route.as_str()]);
        gauge.set(permille(share));
    }
    metrics.nested_refused.reset();
    for (route, share) in state.dependencies.nested_routes(now) {
        let gauge = metrics.nested_refused.with_label_values(&[route.as_str()]);
        gauge.set(permille(share));
    }
}

fn update_link(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    let backlog = metrics.link_backlog.with_label_values(&NO_LABELS);
    backlog.set(state.bandwidth.backlog(state.now).as_millis() as i64);
    metrics.link_refusals.reset();
    let refusals = metrics.link_refusals.with_label_values(&NO_LABELS);
    refusals.inc_by(state.bandwidth.refused());
}

fn update_catalogue(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    let version = state.dissemination.version();
    let gauge = metrics.catalogue_version.with_label_values(&NO_LABELS);
    gauge.set(version.0 as i64);
    if state.replication.is_none() {
        return;
    }
    let Some(view) = convergence::view(state, version) else {
        return;
    };
    let known = metrics.nodes_known.with_label_values(&NO_LABELS);
    known.set(view.nodes_known as i64);
    let in_force = metrics.nodes_in_force.with_label_values(&NO_LABELS);
    in_force.set(view.nodes_in_force as i64);
    metrics.convergence.reset();
    if let Some((accepted, everywhere)) = view.accepted_at_ms.zip(view.in_force_everywhere_at_ms) {
        let duration_ms = metrics.convergence.with_label_values(&NO_LABELS);
        duration_ms.set(everywhere.saturating_sub(accepted) as i64);
    }
}

fn update_members(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    metrics.members.reset();
    for record in state.membership.present() {
        let name = &record.identity.instance;
        let label = if *name == state.settings.identity.instance {
            "self"
        } else {
            state.membership.reachability(name).as_str()
        };
        metrics.members.with_label_values(&[label]).inc();
    }
}

fn update_group(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    let Some(view) = replication::GroupView::of(state) else {
        return;
    };
    let own_address = state.settings.identity.address;
    let term = metrics.leader_term.with_label_values(&NO_LABELS);
    term.set(view.term.0 as i64);
    let is_leader = metrics.is_leader.with_label_values(&NO_LABELS);
    is_leader.set(i64::from(view.leader == Some(own_address)));
    let has_failed = metrics.store_failed.with_label_values(&NO_LABELS);
    has_failed.set(i64::from(view.has_failed));
    metrics.voters.reset();
    if view.role == replication::LEADER_ROLE {
        let silent = view.members.iter().filter(|member| member.is_silent());
        for (label, count) in [("alive", view.alive_voters()), ("silent", silent.count())] {
            let gauge = metrics.voters.with_label_values(&[label]);
            gauge.set(count as i64);
        }
    }
    for (label, position) in [("last", view.last), ("committed", view.commit)] {
        let gauge = metrics.log_position.with_label_values(&[label]);
        gauge.set(position.0 as i64);
    }
}

fn update_rollouts(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    metrics.rollout_phase.reset();
    for entry in state.dissemination.in_force.rollouts() {
        let labels = [entry.name.as_str(), entry.to.as_str(), entry.phase.as_str()];
        metrics.rollout_phase.with_label_values(&labels).set(1);
    }
    metrics.rollout_runs.reset();
    for (service, version, runs) in state.rollout.tallies.iter() {
        let version = version.map_or("", |version| version.as_str());
        let successful = runs.answered - runs.failed;
        for (result, count) in [("answered", successful), ("failed", runs.failed)] {
            let labels = [service.as_str(), version, result];
            let gauge = metrics.rollout_runs.with_label_values(&labels);
            gauge.add(i64::from(count));
        }
    }
}

/// Sets the counters of the bytes handed to this node's link, if its rate is known.
pub fn update_link_counters(link: &link_shares::LinkShares, metrics: &metrics::ProcessMetrics) {
    metrics.link_bytes.reset();
    let Some((small, large)) = link.sent_bytes() else {
        return;
    };
    for (size, bytes) in [("small", small), ("large", large)] {
        let counter = metrics.link_bytes.with_label_values(&[size]);
        counter.inc_by(bytes);
    }
}

fn update_returns(state: &reducer::EngineState, metrics: &metrics::ProcessMetrics) {
    metrics.returns.reset();
    metrics.awaited_returns.reset();
    for (key, line) in state.calls.returns.routes.iter() {
        let labels = [key.service.as_str(), key.route.as_str()];
        let awaited = metrics.awaited_returns.with_label_values(&labels);
        awaited.add(line.len() as i64);
        let counts = line.counts();
        let results = [
            ("appointed", counts.appointed),
            ("kept", counts.kept),
            ("refused", counts.refused),
            ("lapsed", counts.lapsed),
            ("none_left", counts.without_turn),
        ];
        for (result, count) in results {
            let labels = [labels[0], labels[1], result];
            let counter = metrics.returns.with_label_values(&labels);
            counter.inc_by(count);
        }
    }
}

/// Sets the byte counters from the counts of the links and listeners.
pub fn update_byte_counters(counts: &byte_counts::ByteCounts, metrics: &metrics::ProcessMetrics) {
    metrics.sent_bytes.reset();
    for (peer, categories) in counts.links() {
        let peer = peer.to_string();
        for (category, count) in categories {
            let counter = metrics.sent_bytes.with_label_values(&[&peer, category]);
            counter.inc_by(count.bytes);
        }
    }
    metrics.received_bytes.reset();
    for (category, count) in counts.summary().received {
        let counter = metrics.received_bytes.with_label_values(&[category]);
        counter.inc_by(count.bytes);
    }
}
