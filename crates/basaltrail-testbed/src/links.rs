//! The proxied links between the controllers, and between controllers and stand-ins.

use crate::cloud::Cloud;
use crate::config::TestbedConfig;
use crate::controller_settings::ControllerAddresses;
use crate::deployment::ZONES;
use crate::http::free_port;
use crate::proxy::Link;
use crate::state_service::StateService;
use std::net::SocketAddr;

/// An error in opening the links.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The first port is so high that there are too few ports for all controllers.
    #[error("too few ports from {first_port} for all controllers; choose a lower port")]
    PortRange {
        /// Port of the first controller.
        first_port: u16,
    },
    /// The port of a controller could not be bound.
    #[error("{address}: {source}")]
    PortUnavailable {
        /// Address of the controller.
        address: SocketAddr,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// No free port was found, or it could not be bound.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// The links of a run.
pub struct Links {
    /// Links to the state service, by index of the controller.
    pub state_service: Vec<Link>,
    /// Links to the cloud, by index of the controller.
    pub cloud: Vec<Link>,
    /// Links from the workers, by index of the zone and index of the controller.
    pub workers: Vec<Vec<Link>>,
    /// Links from the users, by index of the controller.
    pub users: Vec<Link>,
    /// Links between the controllers, one per ordered pair.
    pub peers: Vec<PeerLink>,
}

/// A link from one controller to another.
pub struct PeerLink {
    /// Index of the controller that opens the connections.
    pub from: usize,
    /// Index of the controller that accepts the connections.
    pub to: usize,
    /// The link.
    pub link: Link,
}

/// Addresses of one controller's listeners.
struct Listeners {
    /// Listener for users and workers.
    clients: SocketAddr,
    /// Listener for the other controllers.
    peers: SocketAddr,
    /// Listener for operators.
    administration: SocketAddr,
}

impl Links {
    /// Opens all links. Returns them with the addresses for each controller's settings.
    ///
    /// # Errors
    ///
    /// Fails if the port of a controller is in use or out of range, or no free port is found.
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
            let addresses = choose_listeners(config.first_port, controller)?;
            let state_address = state_service.listen(controller).await?;
            links.state_service.push(Link::open(state_address).await?);
            links.cloud.push(Link::open(cloud_address).await?);
            links.users.push(Link::open(addresses.clients).await?);
            for zone in &mut links.workers {
                zone.push(Link::open(addresses.clients).await?);
            }
            listeners.push(addresses);
        }
        let mut addresses = Vec::new();
        for controller in 0..controllers {
            let peers = links.open_peer_links(controller, &listeners).await?;
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

    /// Opens the links from a controller to the others. Returns their addresses with the indices of
    /// the other controllers.
    async fn open_peer_links(
        &mut self,
        controller: usize,
        listeners: &[Listeners],
    ) -> std::io::Result<Vec<(usize, SocketAddr)>> {
        let mut addresses = Vec::new();
        for (peer, listeners) in
            listeners.iter().enumerate().filter(|(peer, _)| *peer != controller)
        {
            let link = Link::open(listeners.peers).await?;
            addresses.push((peer, link.address));
            self.peers.push(PeerLink { from: controller, to: peer, link });
        }
        Ok(addresses)
    }

    /// Returns all links from and to a controller.
    pub fn of_controller(&self, controller: usize) -> impl Iterator<Item = &Link> {
        let is_connected = move |peer: &&PeerLink| controller == peer.from || controller == peer.to;
        let peers = self.peers.iter().filter(is_connected).map(|peer| &peer.link);
        [&self.state_service[controller], &self.cloud[controller], &self.users[controller]]
            .into_iter()
            .chain(self.workers.iter().map(move |zone| &zone[controller]))
            .chain(peers)
    }
}

/// Chooses the addresses of a controller's listeners.
fn choose_listeners(first_port: Option<u16>, controller: usize) -> Result<Listeners, LinkError> {
    let clients = match first_port {
        Some(first_port) => configured_address(first_port, controller)?,
        None => free_port()?,
    };
    Ok(Listeners { clients, peers: free_port()?, administration: free_port()? })
}

/// Returns the address with a controller's port, counted from the first controller's port. Checks
/// that the port is free.
fn configured_address(first_port: u16, controller: usize) -> Result<SocketAddr, LinkError> {
    let offset = u16::try_from(controller).ok();
    let port = offset
        .and_then(|offset| first_port.checked_add(offset))
        .ok_or(LinkError::PortRange { first_port })?;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    std::net::TcpListener::bind(address)
        .map_err(|source| LinkError::PortUnavailable { address, source })?;
    Ok(address)
}
