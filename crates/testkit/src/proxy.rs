//! TCP proxy that injects faults into connections, selected by their source address.
//!
//! Each process of a test has its own loopback address and connects from it. A rule for one source
//! therefore affects only the connections from that process to the process behind the proxy.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};

/// What the proxy does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultRule {
    /// Forwards everything.
    Pass,
    /// Closes the connection, and new ones immediately.
    Cut,
    /// Keeps the connection open without forwarding anything, like a half-open connection.
    Silent,
    /// Delays each chunk by this time.
    Delay(Duration),
    /// Forwards at most this many bytes in each direction, then closes that direction.
    CutAfter(usize),
    /// Forwards at most this many bytes per second in each direction.
    Throttle(usize),
}

#[derive(Debug, Clone)]
struct SourceFaultRules {
    default: FaultRule,
    by_source: IndexMap<IpAddr, FaultRule>,
}

impl SourceFaultRules {
    fn rule(&self, source: IpAddr) -> FaultRule {
        self.by_source.get(&source).copied().unwrap_or(self.default)
    }
}

/// Proxy in front of one listener.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    upstream: Arc<watch::Sender<Option<SocketAddr>>>,
    rules: Arc<watch::Sender<SourceFaultRules>>,
}

const CHUNK_BYTES: usize = 16 << 10;

impl FaultProxy {
    /// Starts a proxy on a free port of an address. Connections are closed until an upstream is
    /// set.
    pub async fn start(listen: IpAddr) -> Self {
        let listener = TcpListener::bind(SocketAddr::new(listen, 0)).await;
        let listener = listener.expect("every loopback address has a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let rules = SourceFaultRules {
            default: FaultRule::Pass,
            by_source: IndexMap::new(),
        };
        let proxy = Self {
            address,
            upstream: Arc::new(watch::Sender::new(None)),
            rules: Arc::new(watch::Sender::new(rules)),
        };
        tokio::spawn(proxy.clone().serve(listener));
        proxy
    }

    /// Sets the address that connections are forwarded to.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.upstream.send_replace(Some(upstream));
    }

    /// Sets the rule for all sources and removes the rules for single sources.
    pub fn set_all(&self, rule: FaultRule) {
        self.rules.send_replace(SourceFaultRules {
            default: rule,
            by_source: IndexMap::new(),
        });
    }

    /// Sets the rule for one source.
    pub fn set_source(&self, source: IpAddr, rule: FaultRule) {
        self.rules.send_modify(|source_rules| {
            source_rules.by_source.insert(source, rule);
        });
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, from)) = listener.accept().await {
            tokio::spawn(self.clone().forward(stream, from.ip()));
        }
    }

    async fn forward(self, downstream: TcpStream, source: IpAddr) {
        let mut rules = self.rules.subscribe();
        if rules.borrow_and_update().rule(source) == FaultRule::Cut {
            return;
        }
        let Some(upstream) = *self.upstream.borrow() else {
            return;
        };
        let Ok(upstream_stream) = TcpStream::connect(upstream).await else {
            return;
        };
        drop(downstream.set_nodelay(true));
        drop(upstream_stream.set_nodelay(true));
        let (downstream_read, downstream_write) = downstream.into_split();
        let (upstream_read, upstream_write) = upstream_stream.into_split();
        let outbound = copy(downstream_read, upstream_write, rules.clone(), source);
        let inbound = copy(upstream_read, downstream_write, rules.clone(), source);
        tokio::select! {
            () = async { tokio::join!(outbound, inbound); } => {}
            () = wait_for_cut(rules, source) => {}
        }
    }
}

async fn wait_for_cut(mut rules: watch::Receiver<SourceFaultRules>, source: IpAddr) {
    let is_cut = |source_rules: &SourceFaultRules| source_rules.rule(source) == FaultRule::Cut;
    drop(rules.wait_for(is_cut).await);
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut rules: watch::Receiver<SourceFaultRules>,
    source: IpAddr,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut forwarded = 0;
    loop {
        let Ok(read_bytes) = reader.read(&mut chunk).await else {
            return;
        };
        let is_not_silent =
            |source_rules: &SourceFaultRules| source_rules.rule(source) != FaultRule::Silent;
        let Ok(rule) = rules
            .wait_for(is_not_silent)
            .await
            .map(|source_rules| source_rules.rule(source))
        else {
            return;
        };
        if read_bytes == 0 {
            drop(writer.shutdown().await);
            return;
        }
        let mut allowed = read_bytes;
        match rule {
            FaultRule::Delay(delay) => time::sleep(delay).await,
            FaultRule::Throttle(bytes_per_second) => {
                time::sleep(Duration::from_secs_f64(
                    read_bytes as f64 / bytes_per_second as f64,
                ))
                .await;
            }
            FaultRule::CutAfter(limit) => allowed = read_bytes.min(limit.saturating_sub(forwarded)),
            FaultRule::Cut => return,
            FaultRule::Pass | FaultRule::Silent => {}
        }
        forwarded += allowed;
        if writer.write_all(&chunk[..allowed]).await.is_err() || allowed < read_bytes {
            return;
        }
    }
}
