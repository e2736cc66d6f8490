//! Settings of a stand-in.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::ids;

use crate::behaviour;

/// Default lease of announcements.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
const DEFAULT_SLOTS: u32 = 10;
const DEFAULT_CONNECTIONS: u32 = 130;

/// Settings of a stand-in, created by [`StandInSettings::builder`].
#[derive(Debug, Clone)]
pub struct StandInSettings {
    /// Name of the target.
    pub name: ids::TargetName,
    /// Service of the target.
    pub service: ids::EntryName,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Target listener of the node.
    pub node: SocketAddr,
    /// Announced number of concurrent requests.
    pub slots: u32,
    /// Announced number of connections.
    pub connections: u32,
    /// Lease of the announcements, which are renewed three times per lease.
    pub lease: Duration,
    /// Whether announcements are numbered.
    pub is_numbered: bool,
    /// Announced software version.
    pub version: Option<ids::SoftwareVersion>,
    /// Initial behaviour.
    pub behaviour: behaviour::StandInBehaviour,
}

/// Builds [`StandInSettings`].
#[derive(Debug, Clone)]
pub struct StandInBuilder {
    settings: StandInSettings,
}

impl StandInSettings {
    /// Returns a builder of settings for a target of a service that announces itself to `node`.
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
            is_numbered: false,
            version: None,
            behaviour: behaviour::StandInBehaviour::default(),
        };
        StandInBuilder { settings }
    }
}

impl StandInBuilder {
    /// Sets the address to listen on.
    #[must_use]
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.settings.listen = listen;
        self
    }

    /// Sets the announced number of concurrent requests. Also the number above which requests are
    /// shed, unless the behaviour overrides it.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.settings.slots = slots;
        self
    }

    /// Sets the announced number of connections.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.settings.connections = connections;
        self
    }

    /// Sets the lease of the announcements.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.settings.lease = lease;
        self
    }

    /// Numbers the announcements.
    #[must_use]
    pub fn numbered(mut self) -> Self {
        self.settings.is_numbered = true;
        self
    }

    /// Sets the announced software version.
    #[must_use]
    pub fn version(mut self, version: Option<ids::SoftwareVersion>) -> Self {
        self.settings.version = version;
        self
    }

    /// Sets the initial behaviour.
    #[must_use]
    pub fn behaviour(mut self, behaviour: behaviour::StandInBehaviour) -> Self {
        self.settings.behaviour = behaviour;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> StandInSettings {
        self.settings
    }
}
