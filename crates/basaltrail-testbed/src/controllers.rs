//! The controllers: processes of the real program that are started, killed, paused and resumed.
//! Signals are sent only to children of this process, by their process id.

use crate::config::{PolicySource, TestbedConfig};
use crate::controller_settings::{self, ControllerAddresses};
use crate::deployment::Deployment;
use basaltrail_core::events::RENEWAL_VIOLATION;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// Part of the line that a panic writes.
const PANIC: &str = "panicked at";

/// Why something could not be done to a controller.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A settings, policy or log file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The program cannot be started.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings cannot be written as TOML.
    #[error("settings: {0}")]
    Settings(#[from] toml::ser::Error),
    /// A signal cannot be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::errno::Errno),
}

impl ControllerError {
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| ControllerError::File { path: path.into(), source }
    }
}

/// One controller, and its process if it runs.
struct Controller {
    addresses: ControllerAddresses,
    settings: PathBuf,
    policy: Option<PathBuf>,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

/// The controllers of a run.
pub struct Controllers {
    program: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings and policies of all controllers; none is started yet.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn prepare(
        config: &TestbedConfig<'_>,
        addresses: Vec<ControllerAddresses>,
    ) -> Result<Self, ControllerError> {
        let addresses = addresses.into_iter().enumerate();
        let controllers: Result<Vec<Controller>, ControllerError> =
            addresses.map(|(index, addresses)| prepare(config, index, addresses)).collect();
        Ok(Controllers { program: config.program.into(), controllers: controllers? })
    }

    /// The address at which a controller listens for operators, if its policy has a listener.
    pub fn administration(&self, controller: usize) -> SocketAddr {
        self.controllers[controller].addresses.administration
    }

    /// The address at which a controller listens for users and workers.
    pub fn listen(&self, controller: usize) -> SocketAddr {
        self.controllers[controller].addresses.listen
    }

    /// The number of controllers.
    pub fn count(&self) -> usize {
        self.controllers.len()
    }

    /// Starts a controller that does not run.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub async fn start(&self, controller: usize) -> Result<(), ControllerError> {
        let controller = &self.controllers[controller];
        let mut process = controller.process.lock().await;
        if process.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&controller.log);
        let log = log.map_err(ControllerError::file(&controller.log))?;
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&controller.settings);
        if let Some(policy) = &controller.policy {
            command.arg("--policy").arg(policy);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|source| ControllerError::Spawn { program: self.program.clone(), source })?;
        *process = Some(child);
        Ok(())
    }

    /// Kills a controller and waits until its process is gone.
    pub async fn kill(&self, controller: usize) {
        let process = self.controllers[controller].process.lock().await.take();
        if let Some(mut process) = process {
            // It fails only if the process is gone already.
            let _ = process.kill().await;
        }
    }

    /// Pauses a controller in the middle of whatever it does; false if it does not run.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub async fn pause(&self, controller: usize) -> Result<bool, ControllerError> {
        self.signal(controller, Signal::SIGSTOP).await
    }

    /// Resumes a paused controller; false if it does not run.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub async fn resume(&self, controller: usize) -> Result<bool, ControllerError> {
        self.signal(controller, Signal::SIGCONT).await
    }

    async fn signal(&self, controller: usize, signal: Signal) -> Result<bool, ControllerError> {
        // The lock keeps the child from being waited for, so that the id cannot be reused.
        let process = self.controllers[controller].process.lock().await;
        let id = process.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        let Some(id) = id else { return Ok(false) };
        kill(Pid::from_raw(id), signal)?;
        Ok(true)
    }

    /// Log lines in which a controller shows that it violated a rule or panicked, with the index
    /// of the controller.
    ///
    /// # Errors
    ///
    /// If a log cannot be read.
    pub fn logged_faults(&self) -> Result<Vec<(usize, String)>, ControllerError> {
        let mut faults = Vec::new();
        for (index, controller) in self.controllers.iter().enumerate() {
            let log = std::fs::read(&controller.log);
            let log = log.map_err(ControllerError::file(&controller.log))?;
            let log = String::from_utf8_lossy(&log);
            let renewal_violation = format!("event={RENEWAL_VIOLATION}");
            let is_fault = |line: &&str| line.contains(&renewal_violation) || line.contains(PANIC);
            faults.extend(log.lines().filter(is_fault).map(|line| (index, line.to_string())));
        }
        Ok(faults)
    }
}

/// Writes the files of one controller.
fn prepare(
    config: &TestbedConfig<'_>,
    index: usize,
    addresses: ControllerAddresses,
) -> Result<Controller, ControllerError> {
    let name = Deployment::controller_name(index);
    let file = |extension: &str| config.directory.join(format!("{name}.{extension}"));
    let policy = write_policy(config.policy, file("policy"), addresses.administration)?;
    let settings = file("toml");
    let text = controller_settings::to_toml(config.deployment, index, &addresses)?;
    std::fs::write(&settings, text).map_err(ControllerError::file(&settings))?;
    let process = Mutex::new(None);
    Ok(Controller { addresses, settings, policy, log: file("log"), process })
}

/// The policy file of a controller, if it has one; it is written if it is made of entries.
fn write_policy(
    policy: &PolicySource,
    path: PathBuf,
    administration: SocketAddr,
) -> Result<Option<PathBuf>, ControllerError> {
    let entries = match policy {
        PolicySource::None => return Ok(None),
        PolicySource::File(file) => return Ok(Some(file.clone())),
        PolicySource::Entries(entries) => entries,
    };
    let text = format!("(policy\n  (administration \"{administration}\")\n  {entries})\n");
    std::fs::write(&path, text).map_err(ControllerError::file(&path))?;
    Ok(Some(path))
}
