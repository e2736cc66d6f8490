//! The Prometheus metrics of this process.
//!
//! One table defines the name, labels and description of each metric, and docs/METRICS.md is
//! generated from it. Counters and histograms are updated as events occur; gauges, such as queue
//! lengths, are set from the state at each scrape.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::replication;
use hazeltiller_store::{LogStore, error as store_error};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 17] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 0.5,
    1.0, 2.5, 10.0,
];

/// Documentation of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricRow {
    /// Name.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub metric_type: &'static str,
    /// Labels.
    pub labels: &'static [&'static str],
    /// Description.
    pub doc: &'static str,
}

macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $field:ident: $metric_type:ident $name:literal $labels:expr;)*) => {
        /// All metrics of a process. Clones share the values.
        #[derive(Debug, Clone)]
        pub struct ProcessMetrics {
            registry: Registry,
            $($(#[doc = $doc])+ pub $field: metrics!(@type $metric_type),)*
        }

        impl Default for ProcessMetrics {
            fn default() -> Self {
                let registry = Registry::new();
                $(let $field = metrics!(@make $metric_type $name, $labels, concat!($($doc),+));)*
                $(
                    let metric = Box::new($field.clone());
                    registry.register(metric).expect("metric names in the table are unique");
                )*
                Self { registry, $($field,)* }
            }
        }

        impl ProcessMetrics {
            /// Returns the documentation of all metrics, in the order of the table.
            pub fn rows() -> Vec<MetricRow> {
                vec![$(MetricRow {
                    name: $name,
                    metric_type: stringify!($metric_type),
                    labels: &$labels,
                    doc: concat!($($doc),+).trim_ascii(),
                },)*]
            }
        }
    };
    (@type counter) => { IntCounterVec };
    (@type gauge) => { IntGaugeVec };
    (@type histogram) => { HistogramVec };
    (@make counter $name:literal, $labels:expr, $doc:expr) => {
        IntCounterVec::new(Opts::new($name, $doc), &$labels)
            .expect("metric and label names in the table are valid")
    };
    (@make gauge $name:literal, $labels:expr, $doc:expr) => {
        IntGaugeVec::new(Opts::new($name, $doc), &$labels)
            .expect("metric and label names in the table are valid")
    };
    (@make histogram $name:literal, $labels:expr, $doc:expr) => {
        HistogramVec::new(
            HistogramOpts::new($name, $doc).buckets(LATENCY_BUCKETS_S.to_vec()),
            &$labels,
        )
        .expect("metric and label names in the table are valid")
    };
}

metrics! {
    /// Callers' requests that ended here, by result: answered, refused (not run) or unknown.
    calls: counter "hazeltiller_calls_total" ["service", "class", "result"];
    /// Time from a caller's request to the first byte of its answer, in seconds.
    call_seconds: histogram "hazeltiller_call_seconds" ["service", "class"];
    /// Refusals by result code, made here as a caller's node (ingress) or as a target's (owner).
    refusals: counter "hazeltiller_refusals_total" ["code", "side"];
    /// Tries that calls made.
    attempts: counter "hazeltiller_tries_total" ["service"];
    /// Tries beyond the first of a call.
    retries: counter "hazeltiller_retries_total" ["service"];
    /// Places asked for at targets' nodes before a request was sent there, by answer: given, refused, none (in time) or unsupported.
    places: counter "hazeltiller_places_total" ["answer"];
    /// Places that this node kept for admitted calls, by what became of them: taken, unused (in time) or released (by the other node).
    kept_places: counter "hazeltiller_kept_places_total" ["result"];
    /// Checks of nodes that had not responded to an idempotent request for a while, by result: answered or silent.
    node_checks: counter "hazeltiller_node_checks_total" ["result"];
    /// Second tries that the budget of a service still allows.
    retry_budget: gauge "hazeltiller_retry_budget" ["service"];
    /// Callers refused for want of capacity, by what became of the time that they were told: appointed (told one), kept (returned then), refused (then refused again), lapsed (did not return) or none_left (no time was left).
    returns: counter "hazeltiller_returns_total" ["service", "route", "result"];
    /// Callers that were told when to return and have not returned.
    awaited_returns: gauge "hazeltiller_awaited_returns" ["service", "route"];
    /// Runs at own targets, by how they ended.
    runs: counter "hazeltiller_runs_total" ["service", "result"];
    /// Time from an offer to the end of its run, in seconds.
    run_seconds: histogram "hazeltiller_run_seconds" ["service"];
    /// Time that slots of own targets were used, in microseconds, by what came of the runs: in_time (within the target latency), late or failed.
    slot_time: counter "hazeltiller_slot_microseconds_total" ["service", "class", "result"];
    /// Time from a caller's request to its refusal, in seconds.
    refused_seconds: histogram "hazeltiller_refused_seconds" ["service", "class"];
    /// Time from an offer until its target's node gave it back, in seconds, as the caller's node sees it.
    given_back_seconds: histogram "hazeltiller_given_back_seconds" ["service"];
    /// Share of a route's calls that this node refuses because calls that its runs make find no room, in thousandths.
    dependency_refused: gauge "hazeltiller_dependency_refused_permille" ["route"];
    /// Share of the calls of a route, made by runs at this node, that was refused lately, in thousandths.
    nested_refused: gauge "hazeltiller_nested_refused_permille" ["route"];
    /// Calls that run at an own target.
    running: gauge "hazeltiller_running" ["target"];
    /// Calls that wait for a slot of an own target.
    queued: gauge "hazeltiller_queued" ["target"];
    /// Slots of an own target as they are used now.
    slots: gauge "hazeltiller_slots" ["target"];
    /// Answered runs of own targets since the order of their service's roll-out, by version and whether they failed.
    rollout_runs: gauge "hazeltiller_rollout_runs" ["service", "version", "result"];
    /// 1 for the phase that a service's latest roll-out is in here.
    rollout_phase: gauge "hazeltiller_rollout_phase" ["service", "version", "phase"];
    /// Version of the catalogue in force; its lag is the largest over all processes less this one.
    catalogue_version: gauge "hazeltiller_catalogue_version" [];
    /// Time at which that version came into force here, in milliseconds since 1970; none before the first one.
    in_force_at: gauge "hazeltiller_catalogue_in_force_timestamp_milliseconds" [];
    /// Nodes that the version in force here is known to be in force on, as a control knows.
    nodes_in_force: gauge "hazeltiller_nodes_in_force" [];
    /// Nodes that are known, as a control knows.
    nodes_known: gauge "hazeltiller_nodes_known" [];
    /// Milliseconds from acceptance to force everywhere of the version in force, once it is.
    convergence: gauge "hazeltiller_convergence_milliseconds" [];
    /// Members by how they are seen, this process included.
    members: gauge "hazeltiller_members" ["state"];
    /// Targets that this process knows, by what they say of themselves.
    targets: gauge "hazeltiller_targets" ["service", "state"];
    /// Targets that signal, as this process knows: rate_limit (it names one) or leaving.
    signalling_targets: gauge "hazeltiller_signalling_targets" ["signal"];
    /// Bytes sent to other processes, by link and reason.
    sent_bytes: counter "hazeltiller_sent_bytes_total" ["peer", "reason"];
    /// Bytes received from other processes, by reason.
    received_bytes: counter "hazeltiller_received_bytes_total" ["reason"];
    /// Bytes handed to the link of this node while its rate is known, by how: at once (small) or by turns (large).
    link_bytes: counter "hazeltiller_link_bytes_total" ["size"];
    /// Milliseconds in which the link of this node sends what waits for it.
    link_backlog: gauge "hazeltiller_link_backlog_milliseconds" [];
    /// Offers refused because the link of this node could not deliver their responses in time.
    link_refusals: counter "hazeltiller_link_refusals_total" [];
    /// Links that were closed because the other side lacked the key or sent what is no message.
    refused_peers: counter "hazeltiller_refused_peers_total" ["code"];
    /// Term of the control group, as this control knows.
    leader_term: gauge "hazeltiller_leader_term" [];
    /// 1 while this control leads.
    is_leader: gauge "hazeltiller_is_leader" [];
    /// Voters of the control group by whether they answer (alive, silent), as its leader knows.
    voters: gauge "hazeltiller_voters" ["state"];
    /// 1 while the disk of this control has refused a write and it takes no part in its group.
    store_failed: gauge "hazeltiller_store_failed" [];
    /// Last position of this control's log, and the committed one.
    log_position: gauge "hazeltiller_log_position" ["state"];
    /// Time of a write to the log with its sync, in seconds.
    sync_seconds: histogram "hazeltiller_store_sync_seconds" [];
    /// Batches written to the log.
    batches: counter "hazeltiller_store_batches_total" [];
    /// Limits of the machine on this process: memory_bytes (none if unknown) and descriptors.
    process_limits: gauge "hazeltiller_process_limit" ["resource"];
    /// Connections of clients, by listener; of peers only those that have not authenticated themselves.
    connections: gauge "hazeltiller_connections" ["listener"];
    /// Connections that were ended for a limit, by listener and reason: refused (the listener is at its limit), displaced (closed for a new one) or slow (the client did not read).
    ended_connections: counter "hazeltiller_connections_ended_total" ["listener", "reason"];
    /// Bytes held for clients: heads and bodies of requests, and responses that were not written yet.
    held_bytes: gauge "hazeltiller_held_bytes" [];
    /// Requests refused because too much was held for clients.
    memory_refusals: counter "hazeltiller_memory_refusals_total" [];
    /// Events that the reducer took.
    events: counter "hazeltiller_engine_events_total" [];
    /// Time that the reducer and its effects took, in microseconds.
    busy_us: counter "hazeltiller_engine_busy_microseconds_total" [];
}

impl ProcessMetrics {
    /// Renders all values in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("every metric family has values, and writing to memory succeeds");
        text
    }

    /// Counts an event that the reducer has processed, and the time that it took.
    pub fn record_event(&self, duration: Duration) {
        self.events.with_label_values::<&str>(&[]).inc();
        let micros = duration.as_micros() as u64;
        self.busy_us.with_label_values::<&str>(&[]).inc_by(micros);
    }
}

/// Renders docs/METRICS.md from the table.
pub fn page() -> String {
    let mut page = String::from(
        "# Metrics\n\nEach process serves its metrics at `/metrics` on its operators listener, in \
         the Prometheus text format.\n\nThis page is generated from the table in the daemon and \
         checked against it by a test.\n\n| name | type | labels | description |\n| --- | --- \
         | --- | --- |\n",
    );
    for row in ProcessMetrics::rows() {
        page.push_str(&format!(
            "| `{}` | {} | {} | {} |\n",
            row.name,
            row.metric_type,
            row.labels.join(", "),
            row.doc
        ));
    }
    page
}

/// Wraps the store of the replicated log and measures its writes.
pub struct MeasuredStore {
    store: Box<dyn LogStore>,
    metrics: Arc<ProcessMetrics>,
}

impl std::fmt::Debug for MeasuredStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MeasuredStore").finish_non_exhaustive()
    }
}

impl MeasuredStore {
    /// Wraps a store.
    pub fn new(store: Box<dyn LogStore>, metrics: Arc<ProcessMetrics>) -> Self {
        Self { store, metrics }
    }
}

impl LogStore for MeasuredStore {
    fn write(
        &mut self,
        batches: Vec<replication::PersistBatch>,
    ) -> Result<(), store_error::StoreError> {
        let count = batches.len() as u64;
        let timer = self
            .metrics
            .sync_seconds
            .with_label_values::<&str>(&[])
            .start_timer();
        let result = self.store.write(batches);
        timer.observe_duration();
        let counter = self.metrics.batches.with_label_values::<&str>(&[]);
        counter.inc_by(count);
        result
    }
}
