//! Starts a process: binds its listeners, recovers its state and spawns its tasks.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{
    calls::transit,
    connections::{self, memory},
    event, ledger, membership as engine_membership, reducer, replication,
    routing::placement,
    settings as engine_settings, timeline as engine_timeline,
};
use hazeltiller_store::{
    claims as store_claims, error as store_error, file as store_file, notices as store_notices,
};
use hazeltiller_units::{code, ids, time as unit_time};
use hazeltiller_wire::{handshake as wire, membership, replication as wire_replication};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time,
};

use crate::{
    byte_counts, callers, claims_task, client_connections, critical_tasks, dialect, drain,
    engine_actor, handshake, link_shares, links, metrics, notices_task, observer, operators, owner,
    peers, pool, probe, process_limits, readiness, settings, store_task, targets, timeline, trace,
};

/// Interval of the tick events that drive the timers of the reducer.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Why a process failed to start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be bound.
    #[snafu(display("{}: {address}: {source}", code::ResultCode::ListenFailed))]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A file named in the settings cannot be read.
    #[snafu(display("{}: {}: {source}", code::ResultCode::SettingsUnreadable, path.display()))]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings of a control name no data folder.
    #[snafu(display(
        "{}: the control role requires data_folder",
        code::ResultCode::StoreMissing
    ))]
    DataFolderMissing,
    /// Bootstrap was requested, but the data folder already holds state.
    #[snafu(display(
        "{}: bootstrap requires an empty data_folder",
        code::ResultCode::StoreNotEmpty
    ))]
    DataFolderNotEmpty,
    /// The store cannot be opened.
    #[snafu(display("{}: {source}", source.code()))]
    Store {
        /// The cause.
        source: store_error::StoreError,
    },
}

/// State shared by all tasks of the process.
#[derive(Debug)]
pub struct ProcessContext {
    /// Handle to the actor that runs the reducer.
    pub engine: engine_actor::EngineHandle,
    /// Identity and group key for the handshakes with other processes.
    pub credentials: handshake::LinkCredentials,
    /// The catalogue in force.
    pub in_force: watch::Receiver<Arc<catalogue_state::CatalogueState>>,
    /// Bytes of peer messages, by link and traffic category.
    pub bytes: byte_counts::ByteCounts,
    /// Connections to other nodes.
    pub nodes: pool::NodePool,
    /// Measured transit times of offers from other nodes.
    pub transit: transit::TransitMeterTable,
    /// Connections of clients to all listeners.
    pub connections: client_connections::ConnectionRegistry,
    /// The link that this node's responses share.
    pub link: link_shares::LinkShares,
    /// Connections to this node's targets.
    pub targets: pool::TargetPool,
    /// Protocols towards callers, targets and operators.
    pub dialects: dialect::DialectSet,
    /// Service of the target that runs beside this node and sends its calls through it.
    pub caller: Option<ids::EntryName>,
    /// Lease of a target whose announcement names none, in milliseconds.
    pub default_lease_ms: u64,
    /// Bounds of the calls that ask for a place before their request is sent.
    pub placement_tunables: engine_settings::PlacementTunables,
    /// Time that other nodes take to answer such calls.
    pub answer_times: placement::AnswerTimeTable,
    /// Places that this node keeps for such calls.
    pub places: owner::PlaceTable,
    /// Limits and timeouts of requests.
    pub request_tunables: engine_settings::RequestTunables,
    /// Limits and timeouts of the connections of clients.
    pub connection_tunables: engine_settings::ConnectionTunables,
    /// Maximum size of a stored response to a claimed request, in bytes.
    pub max_stored_response_bytes: u64,
    /// Progress of the graceful shutdown.
    pub drain: drain::DrainState,
    /// Hash of the first administrator's token, if the settings name one.
    pub administrator_hash: Option<ids::StateDigest>,
    /// Maximum time that an operator's request waits for its result, in milliseconds.
    pub operator_timeout_ms: u64,
    /// Metrics of this process.
    pub metrics: Arc<metrics::ProcessMetrics>,
    /// Record of the events of this process.
    pub timeline: timeline::Timeline,
    /// Hybrid clock that timestamps messages and events.
    pub clock: timeline::HybridClock,
    /// Generates request ids.
    pub request_ids: trace::RequestIds,
    last_call_id: AtomicU64,
}

impl ProcessContext {
    /// Returns the id of a new call, unique within this process.
    pub fn next_call_id(&self) -> ids::CallId {
        ids::CallId(self.last_call_id.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Bound addresses of the listeners. Those that the roles do not include are absent.
#[derive(Debug, Clone, Copy)]
pub struct BoundAddresses {
    /// Address of the callers listener.
    pub callers: Option<SocketAddr>,
    /// Address of the target listener.
    pub target: Option<SocketAddr>,
    /// Address of the peers listener.
    pub peers: SocketAddr,
    /// Address of the operators listener.
    pub operators: SocketAddr,
}

impl std::fmt::Display for BoundAddresses {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ready")?;
        if let Some(address) = self.callers {
            write!(f, " callers={address}")?;
        }
        if let Some(address) = self.target {
            write!(f, " target={address}")?;
        }
        write!(f, " peers={} operators={}", self.peers, self.operators)
    }
}

/// A running process.
#[derive(Debug)]
pub struct RunningProcess {
    /// Addresses of its listeners.
    pub addresses: BoundAddresses,
    /// State shared by its tasks.
    pub context: Arc<ProcessContext>,
    /// Reports a critical task that has ended, after which the process has to exit.
    pub critical_tasks: critical_tasks::TaskMonitor,
}

/// Start options that are not part of the settings.
#[derive(Debug, Clone, Default)]
pub struct StartOptions {
    /// Makes the instances under `control` the voters of a new group. The start fails if the data
    /// folder already holds state.
    pub bootstrap: bool,
    /// Protocols towards callers, targets and operators.
    pub dialects: dialect::DialectSet,
}

/// Starts a process. Returns once all listeners are bound.
pub async fn start(
    settings: &settings::ProcessSettings,
    options: StartOptions,
) -> Result<RunningProcess, StartError> {
    let is_node = settings.has_role(settings::ProcessRole::Node);
    let peers = bind(settings.listen.peers).await?;
    let operators = bind(settings.listen.operators).await?;
    let callers = if is_node {
        Some(bind(settings.listen.callers).await?)
    } else {
        None
    };
    let target = if is_node {
        Some(bind(settings.listen.target).await?)
    } else {
        None
    };
    let ready = match settings.listen.ready {
        Some(address) if is_node => Some(bind(address).await?),
        _ => None,
    };
    let addresses = BoundAddresses {
        callers: callers.as_ref().map(local_address),
        target: target.as_ref().map(local_address),
        peers: local_address(&peers),
        operators: local_address(&operators),
    };
    let identity = membership::PeerIdentity {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        address: settings.advertise_peers.unwrap_or(addresses.peers),
        operators: Some(addresses.operators),
        is_control: settings.has_role(settings::ProcessRole::Control),
        is_node,
        incarnation: ids::IncarnationNumber(unit_time::WallTime::now().0),
    };
    let key = wire::GroupKey::new(read_group_key(settings)?);
    let credentials = handshake::LinkCredentials { identity, key };
    let (registry, critical_tasks) = critical_tasks::TaskRegistry::new();
    let context = start_engine(settings, options, credentials, &registry)?;
    tokio::spawn(peers::serve(Arc::clone(&context), peers));
    tokio::spawn(operators::serve(Arc::clone(&context), operators));
    if let Some(listener) = callers {
        tokio::spawn(callers::serve(Arc::clone(&context), listener));
    }
    if let Some(listener) = target {
        tokio::spawn(targets::serve(Arc::clone(&context), listener));
    }
    if let Some(listener) = ready {
        tokio::spawn(readiness::serve(Arc::clone(&context), listener));
    }
    tokio::spawn(tick(context.engine.clone()));
    Ok(RunningProcess {
        addresses,
        context,
        critical_tasks,
    })
}

/// Recovers the state from disk, and spawns the engine actor and the tasks that it depends on.
fn start_engine(
    settings: &settings::ProcessSettings,
    options: StartOptions,
    credentials: handshake::LinkCredentials,
    registry: &critical_tasks::TaskRegistry,
) -> Result<Arc<ProcessContext>, StartError> {
    let mut is_new_store = false;
    let mut cut_bytes = 0;
    let (store, recovered) = if credentials.identity.is_control {
        let folder = settings
            .data_folder
            .as_ref()
            .context(DataFolderMissingSnafu)?;
        let tunables = &settings.tunables.replication;
        let is_bootstrap = options.bootstrap || settings.bootstrap;
        let opened = open_store(folder, is_bootstrap, tunables.voters > 0).context(StoreSnafu)?;
        let (file, recovered, existed) = opened;
        snafu::ensure!(!options.bootstrap || !existed, DataFolderNotEmptySnafu);
        is_new_store = !existed;
        cut_bytes = file.cut_bytes();
        let state = replication::ReplicationState::recover(recovered, tunables);
        (Some(file), Some(state))
    } else {
        (None, None)
    };
    let mut state = reducer::EngineState::new(
        engine_settings::EngineSettings {
            identity: credentials.identity.clone(),
            control: settings.contacts(),
            seed: rand::random(),
            tunables: settings.tunables.clone(),
        },
        recovered,
    );
    if let Some(replication) = &state.replication {
        state.dissemination.in_force = Arc::new(replication.committed().clone());
    }
    let claims_file = match &settings.data_folder {
        Some(folder) if credentials.identity.is_control => {
            let opened = store_claims::ClaimFile::open(folder, is_new_store);
            let (file, recovered) = opened.context(StoreSnafu)?;
            let acceptor =
                ledger::acceptor::AcceptorState::recover(recovered.claims, recovered.completeness);
            state.ledger.acceptor = Some(acceptor);
            Some(file)
        }
        _ => None,
    };
    let notice_file = match &settings.data_folder {
        Some(folder) if credentials.identity.is_control => {
            let (file, notices) = store_notices::NoticeFile::open(folder);
            state.membership.withdrawals =
                engine_membership::withdrawals::WithdrawalState::recover(notices);
            Some(file)
        }
        _ => None,
    };
    let (in_force_sender, in_force) = watch::channel(Arc::clone(&state.dissemination.in_force));
    let metrics = Arc::<metrics::ProcessMetrics>::default();
    let limits = process_limits::ProcessLimits::read(&settings.installation);
    limits.report(&metrics);
    let connections = open_registry(settings, &limits);
    tokio::spawn(connections.clone().review());
    let clock = timeline::HybridClock::default();
    let timeline = timeline::Timeline::new(
        settings.instance.clone(),
        clock.clone(),
        &settings.tunables.timeline,
    );
    timeline.record(engine_timeline::TimelineEvent::ProcessStarted {
        incarnation: credentials.identity.incarnation,
    });
    if let Some(view) = replication::GroupView::of(&state) {
        timeline.record(observer::folder_event(&view, is_new_store, cut_bytes));
    }
    let bytes = byte_counts::ByteCounts::default();
    let link = link_shares::LinkShares::new(&settings.tunables.bandwidth);
    let (links, lost_links) = links::LinkTable::new(credentials.clone(), bytes.clone());
    let links = links.charged_to(link.clone());
    let (store_handle, store_batches) = store_task::StoreHandle::new();
    let (claims, claim_batches) = std::sync::mpsc::channel();
    let (notices, notice_batches) = std::sync::mpsc::channel();
    let (probes, probe_plans) = mpsc::unbounded_channel();
    let sinks = engine_actor::EffectSinks {
        probes,
        links,
        store: store.is_some().then_some(store_handle),
        claims: claims_file.is_some().then_some(claims),
        notices: notice_file.is_some().then_some(notices),
        in_force: in_force_sender,
        clock: clock.clone(),
        observer: observer::EngineObserver::new(timeline.clone(), Arc::clone(&metrics)),
    };
    let engine = engine_actor::EngineHandle::start(state, sinks);
    let guard = registry.guard(critical_tasks::CriticalTask::Reducer);
    tokio::spawn(engine.clone().hold_until_shutdown(guard));
    tokio::spawn(links::report_lost_links(lost_links, engine.clone()));
    tokio::spawn(link.clone().grant_turns());
    tokio::spawn(link.clone().report_backlog(engine.clone()));
    let calls = Arc::clone(&options.dialects.calls);
    tokio::spawn(probe::run(probe_plans, calls, engine.clone()));
    if let Some(file) = store {
        let engine = engine.clone();
        let report = move |event| engine.tell(event::Event::Replication(event));
        let store = metrics::MeasuredStore::new(Box::new(file), Arc::clone(&metrics));
        let guard = registry.guard(critical_tasks::CriticalTask::LogWriter);
        std::thread::spawn(move || {
            store_task::run(Box::new(store), &store_batches, report);
            guard.disarm();
        });
    }
    if let Some(file) = claims_file {
        let engine = engine.clone();
        let report = move |event| engine.tell(event::Event::Ledger(event));
        let guard = registry.guard(critical_tasks::CriticalTask::ClaimsWriter);
        std::thread::spawn(move || {
            claims_task::run(Box::new(file), &claim_batches, report);
            guard.disarm();
        });
    }
    if let Some(file) = notice_file {
        let engine = engine.clone();
        let report = move |event| engine.tell(event::Event::Membership(event));
        let guard = registry.guard(critical_tasks::CriticalTask::NoticesWriter);
        std::thread::spawn(move || {
            notices_task::run(Box::new(file), &notice_batches, report);
            guard.disarm();
        });
    }
    let administrator_hash = read_administrator_hash(settings)?;
    if administrator_hash.is_none() && credentials.identity.is_control {
        log::warn!("operators_token_file is not set: changes are accepted from loopback only");
    }
    Ok(Arc::new(ProcessContext {
        engine,
        administrator_hash,
        operator_timeout_ms: settings.tunables.replication.answer_ms,
        in_force,
        bytes,
        nodes: pool::NodePool::new(credentials.clone()),
        transit: transit::TransitMeterTable::default(),
        connections,
        link,
        targets: pool::TargetPool::default(),
        dialects: options.dialects,
        caller: settings.caller_service.clone(),
        default_lease_ms: settings.tunables.membership.lease_ms,
        placement_tunables: settings.tunables.placement.clone(),
        answer_times: placement::AnswerTimeTable::default(),
        places: owner::PlaceTable::default(),
        request_tunables: settings.tunables.requests.clone(),
        connection_tunables: settings.tunables.connections.clone(),
        max_stored_response_bytes: settings.tunables.ledger.answer_bytes,
        drain: drain::DrainState::default(),
        credentials,
        metrics,
        timeline,
        clock,
        request_ids: trace::RequestIds::default(),
        last_call_id: AtomicU64::new(0),
    }))
}

/// Returns the registry of the connections of clients, with the limits that apply to this process.
fn open_registry(
    settings: &settings::ProcessSettings,
    limits: &process_limits::ProcessLimits,
) -> client_connections::ConnectionRegistry {
    let tunables = &settings.tunables.connections;
    let main = if settings.has_role(settings::ProcessRole::Node) {
        connections::ListenerKind::Callers
    } else {
        connections::ListenerKind::Operators
    };
    let limits = connections::ConnectionLimits::new(tunables, limits.descriptors, main);
    let policy = memory::MemoryPolicy::new(tunables);
    client_connections::ConnectionRegistry::new(limits, policy)
}

/// Opens the data folder of a control. In a self-healing group a damaged one is replaced by that of a
/// new replica, which has no vote: the group gives it one once it holds the whole log. Without
/// somebody to replace the folder, a process that refuses it would be missing from its group for good.
fn open_store(
    folder: &Path,
    is_bootstrap: bool,
    is_self_healing: bool,
) -> Result<(store_file::FileStore, replication::RecoveredLog, bool), store_error::StoreError> {
    let initial_state = |is_forming| wire_replication::HardState {
        replica: ids::ReplicaId(rand::random_range(1..=u64::MAX)),
        is_forming,
        ..wire_replication::HardState::default()
    };
    let opened = store_file::FileStore::open(folder, || initial_state(is_bootstrap));
    match opened {
        Err(store_error::StoreError::Damaged {
            path,
            offset,
            message,
        }) if is_self_healing => {
            log::error!(
                "{}: {} is damaged at byte {offset}: {message}; log and snapshot are renamed, and \
                 this instance goes on as a new replica without a vote",
                code::ResultCode::StoreDamaged,
                path.display()
            );
            let (file, recovered) =
                store_file::FileStore::replace_damaged(folder, initial_state(false))?;
            Ok((file, recovered, true))
        }
        opened => opened,
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener
        .local_addr()
        .expect("a bound listener has an address")
}

fn read_group_key(settings: &settings::ProcessSettings) -> Result<Vec<u8>, StartError> {
    match &settings.group_key_file {
        Some(path) => {
            let text = std::fs::read(path).context(ReadSnafu { path })?;
            Ok(text.trim_ascii().to_vec())
        }
        None => Ok(Vec::new()),
    }
}

fn read_administrator_hash(
    settings: &settings::ProcessSettings,
) -> Result<Option<ids::StateDigest>, StartError> {
    let Some(path) = &settings.operators_token_file else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    Ok(Some(change::token_hash(text.trim())))
}

async fn tick(engine: engine_actor::EngineHandle) {
    let mut timer = time::interval(TICK_PERIOD);
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        engine.tell(event::Event::Tick);
    }
}
