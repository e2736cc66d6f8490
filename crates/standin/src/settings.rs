//! What a stand-in is started with.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::ids;

use crate::behaviour;

/// Lease where none is given.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
const DEFAULT_SLOTS: u32 = 10;
const DEFAULT_CONNECTIONS: u32 = 130;

/// What a stand-in is started with; made by [`StandInSettings::builder`].
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Its name.
    pub name: ids::TargetName,
    /// Its service.
    pub service: ids::EntryName,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Target listener of its node.
    pub node: SocketAddr,
    /// Requests that it says it runs at once.
    pub slots: u32,
    /// Connections that it says it takes.
    pub connections: u32,
    /// Lease of its announcements; it announces itself three times as often.
    pub lease: Duration,
    /// Version of its software that it tells.
    pub version: Option<ids::SoftwareVersion>,
    /// How it behaves at first.
    pub behaviour: behaviour::StandInBehaviour,
}

/// Builds [`StandInSettings`].
#[derive(Debug, Clone)]
pub struct StandInBuilder {
    settings: StandInSettings,
}

impl StandInSettings {
    /// A builder of settings for a target of a service, which announces itself at `node`.
    pub fn builder(
        name: ids::TargetName,
        service: ids::EntryName,
        node: SocketAddr,
    ) -> StandInBuilder {
        let settings = Self {
            name,
            service,
            listen: SocketAddr::new(node.ip(), 0),
            node,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            lease: DEFAULT_LEASE,
            version: None,
            behaviour: behaviour::StandInBehaviour::default(),
        };
        StandInBuilder { settings }
    }
}

impl StandInBuilder {
    /// Sets the address that it listens on.
    #[must_use]
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the requests that it runs at once: those that it says and, unless the behaviour has a
    /// number of its own, those beyond which it sheds.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets the connections that it says it takes.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.settings.connections = connections;
        self
    }

    /// Sets the lease of its announcements.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.settings.lease = lease;
        self
    }

    /// Sets the version of its software that it tells.
    #[must_use]
    pub fn version(mut self, version: Option<ids::SoftwareVersion>) -> Self {
        self.settings.version = version;
        self
    }

    /// Sets how it behaves at first.
    #[must_use]
    pub fn behaviour(mut self, behaviour: behaviour::StandInBehaviour) -> Self {
        self.settings.behaviour = behaviour;
        self
    }

    /// The settings.
    pub fn build(self) -> StandInSettings {
        self.settings
    }
}
