//! The controllers: processes of the real program, started, killed, paused and gone on with.
//! Only children of this process are ever sent a signal, by their process id.

use crate::deployment::{Addresses, Deployment};
use crate::world::{Operators, Setup};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// What a controller writes when it finds that it broke a rule of its own.
const FAULT_LINES: [&str; 2] = ["event=renewal_violation", "panicked at"];

/// Why something cannot be done to a controller.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The program or one of its files.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The settings.
    #[error("settings: {0}")]
    Settings(#[from] toml::ser::Error),
    /// A signal.
    #[error("signal: {0}")]
    Signal(#[from] nix::errno::Errno),
}

/// The controllers of a run.
pub struct Controllers {
    program: PathBuf,
    policies: Vec<Option<PathBuf>>,
    directory: PathBuf,
    addresses: Vec<Addresses>,
    processes: Vec<Mutex<Option<Child>>>,
}

impl Controllers {
    /// Writes the settings of all controllers into a directory; none is started yet.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn prepare(setup: &Setup<'_>, addresses: Vec<Addresses>) -> Result<Self, ControllerError> {
        let policies = addresses.iter().enumerate();
        let policies: Result<Vec<_>, _> =
            policies.map(|(node, at)| write_policy(setup, node, at)).collect();
        let controllers = Controllers {
            program: setup.program.into(),
            policies: policies?,
            directory: setup.directory.into(),
            processes: addresses.iter().map(|_| Mutex::new(None)).collect(),
            addresses,
        };
        for node in 0..controllers.count() {
            controllers.write_settings(node, setup.deployment)?;
        }
        Ok(controllers)
    }

    /// Writes the settings of one controller; its next start reads them.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write_settings(
        &self,
        node: usize,
        deployment: &Deployment,
    ) -> Result<(), ControllerError> {
        let path = self.directory.join(format!("stack-{node}.toml"));
        let settings = deployment.settings(node, &self.addresses[node])?;
        std::fs::write(&path, settings).map_err(|error| ControllerError::File(path, error))
    }

    /// Where a controller listens for operators, if its policy says so.
    pub fn administration(&self, node: usize) -> SocketAddr {
        self.addresses[node].administration
    }

    /// Where a controller listens for users and workers.
    pub fn listen(&self, node: usize) -> SocketAddr {
        self.addresses[node].listen
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    fn log(&self, node: usize) -> PathBuf {
        self.directory.join(format!("stack-{node}.log"))
    }

    /// Starts a controller that does not run.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub async fn start(&self, node: usize) -> Result<(), ControllerError> {
        let mut process = self.processes[node].lock().await;
        if process.is_some() {
            return Ok(());
        }
        let path = self.log(node);
        let file = |error| ControllerError::File(path.clone(), error);
        let log = OpenOptions::new().create(true).append(true).open(&path).map_err(file)?;
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(self.directory.join(format!("stack-{node}.toml")));
        if let Some(policy) = &self.policies[node] {
            command.arg("--policy").arg(policy);
        }
        let started = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        let program = |error| ControllerError::File(self.program.clone(), error);
        *process = Some(started.map_err(program)?);
        Ok(())
    }

    /// Ends a controller at once and waits until it is gone.
    pub async fn end(&self, node: usize) {
        if let Some(mut process) = self.processes[node].lock().await.take() {
            let _ = process.kill().await;
        }
    }

    /// Stops a controller in the middle of whatever it does; false if it does not run.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub async fn pause(&self, node: usize) -> Result<bool, ControllerError> {
        self.signal(node, Signal::SIGSTOP).await
    }

    /// Lets a paused controller go on; false if it does not run.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub async fn resume(&self, node: usize) -> Result<bool, ControllerError> {
        self.signal(node, Signal::SIGCONT).await
    }

    async fn signal(&self, node: usize, signal: Signal) -> Result<bool, ControllerError> {
        let process = self.processes[node].lock().await;
        let id = process.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        // The lock keeps the child from being waited for, so the id is still its own.
        match id {
            Some(id) => {
                kill(Pid::from_raw(id), signal)?;
                Ok(true)
            }
            None => Ok(false),
        }
    }

    /// Lines in which a controller says that it broke a rule of its own, or panicked.
    ///
    /// # Errors
    ///
    /// If a log cannot be read.
    pub fn faults(&self) -> Result<Vec<(usize, String)>, ControllerError> {
        let mut found = Vec::new();
        for node in 0..self.count() {
            let path = self.log(node);
            let text = std::fs::read(&path).map_err(|error| ControllerError::File(path, error))?;
            let text = String::from_utf8_lossy(&text);
            let bad = |line: &&str| FAULT_LINES.iter().any(|fault| line.contains(fault));
            found.extend(text.lines().filter(bad).map(|line| (node, line.to_string())));
        }
        Ok(found)
    }
}

/// The policy file of one controller, if it has one.
fn write_policy(
    setup: &Setup<'_>,
    node: usize,
    at: &Addresses,
) -> Result<Option<PathBuf>, ControllerError> {
    let entries = match setup.operators {
        Operators::Nothing => return Ok(None),
        Operators::File(file) => return Ok(Some(file.clone())),
        Operators::Entries(entries) => entries,
    };
    let path = setup.directory.join(format!("stack-{node}.policy"));
    let text = format!("(policy\n  (administration \"{}\")\n  {entries})\n", at.administration);
    match std::fs::write(&path, text) {
        Ok(()) => Ok(Some(path)),
        Err(error) => Err(ControllerError::File(path, error)),
    }
}
