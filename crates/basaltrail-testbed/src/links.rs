//! The proxied links between controllers, stand-ins and each other.

use crate::cloud::Cloud;
use crate::config::TestbedConfig;
use crate::controller_settings::ControllerAddresses;
use crate::deployment::ZONES;
use crate::http::free_port;
use crate::proxy::Link;
use crate::state_service::StateService;
use std::net::SocketAddr;

/// Why links could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The ports that follow the first one end before the last controller.
    #[error("no port follows {first_port} for each controller; choose a lower port")]
    PortRange {
        /// Port of the first controller.
        first_port: u16,
    },
    /// The port of a controller is in use.
    #[error("{address}: {source}")]
    PortTaken {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: std::io::Error,
    },
    /// No free port could be bound.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// The links of a run.
pub struct Links {
    /// From each controller to the state service.
    pub state_service: Vec<Link>,
    /// From each controller to the cloud.
    pub cloud: Vec<Link>,
    /// From the workers of each zone to each controller.
    pub workers: Vec<Vec<Link>>,
    /// From users to each controller.
    pub users: Vec<Link>,
    /// Between the controllers.
    pub peers: Vec<PeerLink>,
}

/// A link from one controller to another.
pub struct PeerLink {
    /// Index of the controller that connects.
    pub from: usize,
    /// Index of the controller that is connected to.
    pub to: usize,
    /// The link.
    pub link: Link,
}

/// Where one controller listens.
struct Listeners {
    clients: SocketAddr,
    peers: SocketAddr,
    administration: SocketAddr,
}

impl Links {
    /// Opens all links, and gives the addresses that each controller uses.
    ///
    /// # Errors
    ///
    /// If a port is taken or none is free.
    pub async fn open(
        config: &TestbedConfig<'_>,
        state_service: &StateService,
        cloud: &Cloud,
    ) -> Result<(Links, Vec<ControllerAddresses>), LinkError> {
        let controllers = config.deployment.controllers;
        let mut links = Links {
            state_service: Vec::new(),
            cloud: Vec::new(),
            workers: ZONES.iter().map(|_| Vec::new()).collect(),
            users: Vec::new(),
            peers: Vec::new(),
        };
        let cloud_address = cloud.listen().await?;
        let mut listeners = Vec::new();
        for controller in 0..controllers {
            let own = choose_listeners(config.first_port, controller)?;
            let state_address = state_service.listen(controller).await?;
            links.state_service.push(Link::open(state_address).await?);
            links.cloud.push(Link::open(cloud_address).await?);
            links.users.push(Link::open(own.clients).await?);
            for zone in &mut links.workers {
                zone.push(Link::open(own.clients).await?);
            }
            listeners.push(own);
        }
        let mut addresses = Vec::new();
        for controller in 0..controllers {
            let peers = links.open_peers(controller, &listeners).await?;
            addresses.push(ControllerAddresses {
                listen: listeners[controller].clients,
                peer_listen: listeners[controller].peers,
                administration: listeners[controller].administration,
                state_service: links.state_service[controller].address,
                cloud: links.cloud[controller].address,
                peers,
            });
        }
        Ok((links, addresses))
    }

    async fn open_peers(
        &mut self,
        from: usize,
        listeners: &[Listeners],
    ) -> std::io::Result<Vec<(usize, SocketAddr)>> {
        let mut addresses = Vec::new();
        for (to, listeners) in listeners.iter().enumerate().filter(|(to, _)| *to != from) {
            let link = Link::open(listeners.peers).await?;
            addresses.push((to, link.address));
            self.peers.push(PeerLink { from, to, link });
        }
        Ok(addresses)
    }

    /// Every link from and to a controller.
    pub fn of_controller(&self, controller: usize) -> impl Iterator<Item = &Link> {
        let is_own = move |peer: &&PeerLink| controller == peer.from || controller == peer.to;
        let peers = self.peers.iter().filter(is_own).map(|peer| &peer.link);
        [&self.state_service[controller], &self.cloud[controller], &self.users[controller]]
            .into_iter()
            .chain(self.workers.iter().map(move |zone| &zone[controller]))
            .chain(peers)
    }
}

fn choose_listeners(first_port: Option<u16>, controller: usize) -> Result<Listeners, LinkError> {
    let clients = match first_port {
        Some(first_port) => port_after(first_port, controller)?,
        None => free_port()?,
    };
    Ok(Listeners { clients, peers: free_port()?, administration: free_port()? })
}

/// The port of a controller, counted from the first controller's.
fn port_after(first_port: u16, controller: usize) -> Result<SocketAddr, LinkError> {
    let offset = u16::try_from(controller).ok();
    let port = offset
        .and_then(|offset| first_port.checked_add(offset))
        .ok_or(LinkError::PortRange { first_port })?;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    std::net::TcpListener::bind(address)
        .map_err(|source| LinkError::PortTaken { address, source })?;
    Ok(address)
}
