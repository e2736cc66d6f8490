//! One running process: listeners bound, state recovered, tasks started.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{
    calls::transit, event, ledger, reducer, replication, settings as engine_settings,
    timeline as engine_timeline,
};
use hazeltiller_store::{claims as store_claims, error as store_error, file as store_file};
use hazeltiller_units::{code, ids, time as unit_time};
use hazeltiller_wire::{handshake as wire, membership, replication as wire_replication};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time,
};

use crate::{
    byte_counts, callers, claims_task, dialect, drain, engine_actor, handshake, links, metrics,
    observer, operators, parts, peers, pool, probe, readiness, settings, store_task, targets,
    timeline, trace,
};

/// Time between two ticks of the reducer.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Why a process did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A listener cannot be bound.
    #[snafu(display("{}: {address}: {source}", code::ResultCode::ListenFailed))]
    Listen {
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A file named in the settings cannot be read.
    #[snafu(display("{}: {}: {source}", code::ResultCode::SettingsUnreadable, path.display()))]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A control has no data folder.
    #[snafu(display("{}: a control needs data_folder", code::ResultCode::StoreMissing))]
    NoFolder,
    /// Bootstrap was asked for on a folder that has state.
    #[snafu(display("{}: bootstrap is for an empty folder", code::ResultCode::StorePresent))]
    StatePresent,
    /// The store does not open.
    #[snafu(display("{}: {source}", source.code()))]
    Store {
        /// Why.
        source: store_error::StoreError,
    },
}

/// What every task of the process shares.
#[derive(Debug)]
pub struct ProcessContext {
    /// The reducer.
    pub engine: engine_actor::EngineHandle,
    /// What it greets with.
    pub credentials: handshake::LinkCredentials,
    /// The catalogue in force.
    pub in_force: watch::Receiver<Arc<catalogue_state::CatalogueState>>,
    /// Control bytes, by link and reason.
    pub bytes: byte_counts::ByteCounts,
    /// Connections to other nodes.
    pub nodes: pool::NodePool,
    /// How long offers of other nodes are on their way.
    pub transit: transit::MeterTable,
    /// Connections to own targets.
    pub targets: pool::TargetPool,
    /// How callers, targets and operators speak.
    pub dialects: dialect::DialectSet,
    /// Service whose target sits beside this node.
    pub caller: Option<ids::EntryName>,
    /// Lease of a target that names none, in milliseconds.
    pub lease_ms: u64,
    /// Bounds of requests on their way.
    pub requests: engine_settings::RequestTunables,
    /// Largest answer of a claimed request that is kept, in bytes.
    pub answer_bytes: u64,
    /// How far a stop has come.
    pub drain: drain::DrainState,
    /// Hash of the first administrator's token, where the settings give one.
    pub administrator: Option<ids::StateDigest>,
    /// Longest time for which an operator waits, in milliseconds.
    pub answer_ms: u64,
    /// Figures of what happened here.
    pub metrics: Arc<metrics::ProcessMetrics>,
    /// What happened here.
    pub timeline: timeline::Timeline,
    /// The clock that messages and events are stamped with.
    pub clock: timeline::HybridClock,
    /// Gives ids to requests.
    pub request_ids: trace::RequestIds,
    last_call: AtomicU64,
}

impl ProcessContext {
    /// A number for a new call; never given twice.
    pub fn next_call(&self) -> ids::CallId {
        ids::CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Addresses that a process is reached at; absent where its roles have no such listener.
#[derive(Debug, Clone, Copy)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For targets.
    pub target: Option<SocketAddr>,
    /// For other processes.
    pub peers: SocketAddr,
    /// For operators.
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

/// A process that runs.
#[derive(Debug)]
pub struct RunningProcess {
    /// Where it is reached.
    pub addresses: BoundAddresses,
    /// What its tasks share.
    pub context: Arc<ProcessContext>,
    /// Tells of a part that has ended, after which the process is of no use.
    pub parts: parts::PartWatch,
}

/// What a process is started with beside the settings.
#[derive(Debug, Clone, Default)]
pub struct StartOptions {
    /// Make the instances under `control` the voters of a new group; refused on a folder with state.
    pub bootstrap: bool,
    /// How callers, targets and operators speak.
    pub dialects: dialect::DialectSet,
}

/// Starts a process: returns once every listener is bound.
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
    let key = wire::GroupKey::new(read_key(settings)?);
    let credentials = handshake::LinkCredentials { identity, key };
    let (registry, parts) = parts::PartRegistry::new();
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
        parts,
    })
}

fn start_engine(
    settings: &settings::ProcessSettings,
    options: StartOptions,
    credentials: handshake::LinkCredentials,
    registry: &parts::PartRegistry,
) -> Result<Arc<ProcessContext>, StartError> {
    let mut is_folder_new = false;
    let (store, recovered) = if credentials.identity.is_control {
        let folder = settings.data_folder.as_ref().context(NoFolderSnafu)?;
        let first = || wire_replication::HardState {
            replica: ids::ReplicaId(rand::random_range(1..=u64::MAX)),
            is_forming: options.bootstrap || settings.bootstrap,
            ..wire_replication::HardState::default()
        };
        let opened = store_file::FileStore::open(folder, first).context(StoreSnafu)?;
        let (file, recovered, was_there) = opened;
        snafu::ensure!(!options.bootstrap || !was_there, StatePresentSnafu);
        is_folder_new = !was_there;
        let tunables = &settings.tunables.replication;
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
            let opened = store_claims::ClaimFile::open(folder, is_folder_new);
            let (file, recovered) = opened.context(StoreSnafu)?;
            let acceptor =
                ledger::acceptor::AcceptorState::recover(recovered.claims, recovered.standing);
            state.ledger.acceptor = Some(acceptor);
            Some(file)
        }
        _ => None,
    };
    let (in_force_sender, in_force) = watch::channel(Arc::clone(&state.dissemination.in_force));
    let metrics = Arc::<metrics::ProcessMetrics>::default();
    let clock = timeline::HybridClock::default();
    let timeline = timeline::Timeline::new(
        settings.instance.clone(),
        clock.clone(),
        &settings.tunables.timeline,
    );
    timeline.note(engine_timeline::TimelineEvent::ProcessStarted {
        incarnation: credentials.identity.incarnation,
    });
    let bytes = byte_counts::ByteCounts::default();
    let (links, losses) = links::LinkTable::new(credentials.clone(), bytes.clone());
    let (handle, batches) = store_task::StoreHandle::new();
    let (claims, claim_batches) = std::sync::mpsc::channel();
    let (probes, probe_plans) = mpsc::unbounded_channel();
    let outlets = engine_actor::EffectOutlets {
        probes,
        links,
        store: store.is_some().then_some(handle),
        claims: claims_file.is_some().then_some(claims),
        in_force: in_force_sender,
        clock: clock.clone(),
        observer: observer::EngineObserver::new(timeline.clone(), Arc::clone(&metrics)),
    };
    let engine = engine_actor::EngineHandle::start(state, outlets);
    let guard = registry.guard(parts::ProcessPart::Reducer);
    tokio::spawn(engine.clone().guarded(guard));
    tokio::spawn(links::report_losses(losses, engine.clone()));
    tokio::spawn(probe::run(probe_plans, engine.clone()));
    if let Some(file) = store {
        let engine = engine.clone();
        let report = move |event| engine.tell(event::Event::Replication(event));
        let store = metrics::MeasuredStore::new(Box::new(file), Arc::clone(&metrics));
        let guard = registry.guard(parts::ProcessPart::LogWriter);
        std::thread::spawn(move || {
            store_task::run(Box::new(store), &batches, report);
            guard.release();
        });
    }
    if let Some(file) = claims_file {
        let engine = engine.clone();
        let report = move |event| engine.tell(event::Event::Ledger(event));
        let guard = registry.guard(parts::ProcessPart::ClaimsWriter);
        std::thread::spawn(move || {
            claims_task::run(Box::new(file), &claim_batches, report);
            guard.release();
        });
    }
    let administrator = read_administrator(settings)?;
    if administrator.is_none() && credentials.identity.is_control {
        log::warn!("operators_token_file is not set: changes are taken from loopback only");
    }
    Ok(Arc::new(ProcessContext {
        engine,
        administrator,
        answer_ms: settings.tunables.replication.answer_ms,
        in_force,
        bytes,
        nodes: pool::NodePool::new(credentials.clone()),
        transit: transit::MeterTable::default(),
        targets: pool::TargetPool::default(),
        dialects: options.dialects,
        caller: settings.caller_service.clone(),
        lease_ms: settings.tunables.membership.lease_ms,
        requests: settings.tunables.requests.clone(),
        answer_bytes: settings.tunables.ledger.answer_bytes,
        drain: drain::DrainState::default(),
        credentials,
        metrics,
        timeline,
        clock,
        request_ids: trace::RequestIds::default(),
        last_call: AtomicU64::new(0),
    }))
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

fn read_key(settings: &settings::ProcessSettings) -> Result<Vec<u8>, StartError> {
    match &settings.group_key_file {
        Some(path) => {
            let text = std::fs::read(path).context(ReadSnafu { path })?;
            Ok(text.trim_ascii().to_vec())
        }
        None => Ok(Vec::new()),
    }
}

fn read_administrator(
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
