//! The controller processes of a run. They run the real program, and can be started, killed, paused
//! and resumed. Signals are sent only to child processes of this process, by process id.

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

/// Text that identifies the log line of a panic.
const PANIC_TEXT: &str = "panicked at";

/// An error in the handling of a controller.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// A settings, policy or log file could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The program could not be started.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The settings could not be serialized as TOML.
    #[error("the settings could not be serialized: {0}")]
    Settings(#[from] toml::ser::Error),
    /// A signal could not be sent.
    #[error("the signal could not be sent: {0}")]
    Signal(#[from] nix::errno::Errno),
}

impl ControllerError {
    /// Converts an input or output error of a file.
    fn file(path: &Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| ControllerError::File { path: path.into(), source }
    }
}

/// A controller, with its process if it is running.
struct Controller {
    addresses: ControllerAddresses,
    settings_path: PathBuf,
    policy_path: Option<PathBuf>,
    log_path: PathBuf,
    process: Mutex<Option<Child>>,
}

/// The controllers of a run.
pub struct Controllers {
    program: PathBuf,
    controllers: Vec<Controller>,
}

impl Controllers {
    /// Writes the settings and policy files of all controllers, without starting them.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn prepare(
        config: &TestbedConfig<'_>,
        addresses: Vec<ControllerAddresses>,
    ) -> Result<Self, ControllerError> {
        let addresses = addresses.into_iter().enumerate();
        let controllers: Result<Vec<Controller>, ControllerError> =
            addresses.map(|(index, addresses)| prepare(config, index, addresses)).collect();
        Ok(Controllers { program: config.program.into(), controllers: controllers? })
    }

    /// Returns the address of a controller's listener for operators. The controller listens there
    /// only if its policy configures it.
    pub fn administration_address(&self, controller: usize) -> SocketAddr {
        self.controllers[controller].addresses.administration
    }

    /// Returns the address of a controller's listener for users and workers.
    pub fn listen_address(&self, controller: usize) -> SocketAddr {
        self.controllers[controller].addresses.listen
    }

    /// Returns the number of controllers.
    pub fn count(&self) -> usize {
        self.controllers.len()
    }

    /// Starts a controller; does nothing if it is already running.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the program cannot be started.
    pub async fn start(&self, controller: usize) -> Result<(), ControllerError> {
        let controller = &self.controllers[controller];
        let mut process = controller.process.lock().await;
        if process.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&controller.log_path);
        let log = log.map_err(ControllerError::file(&controller.log_path))?;
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&controller.settings_path);
        if let Some(policy) = &controller.policy_path {
            command.arg("--policy").arg(policy);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let child = command
            .spawn()
            .map_err(|source| ControllerError::Spawn { program: self.program.clone(), source })?;
        *process = Some(child);
        Ok(())
    }

    /// Kills a controller, and waits until its process has exited.
    pub async fn kill(&self, controller: usize) {
        let process = self.controllers[controller].process.lock().await.take();
        if let Some(mut process) = process {
            // This fails only if the process has already exited.
            let _ = process.kill().await;
        }
    }

    /// Pauses a controller at an arbitrary point of its execution. Returns false if it is not running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub async fn pause(&self, controller: usize) -> Result<bool, ControllerError> {
        self.signal(controller, Signal::SIGSTOP).await
    }

    /// Resumes a paused controller. Returns false if it is not running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub async fn resume(&self, controller: usize) -> Result<bool, ControllerError> {
        self.signal(controller, Signal::SIGCONT).await
    }

    /// Sends a signal to a controller. Returns false if it is not running.
    async fn signal(&self, controller: usize, signal: Signal) -> Result<bool, ControllerError> {
        // While the lock is held, the child is not waited for, so its process id is not reused.
        let process = self.controllers[controller].process.lock().await;
        let id = process.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        let Some(id) = id else { return Ok(false) };
        kill(Pid::from_raw(id), signal)?;
        Ok(true)
    }

    /// Returns the log lines that report a renewal violation or a panic, with the indices of their
    /// controllers.
    ///
    /// # Errors
    ///
    /// Fails if a log cannot be read.
    pub fn logged_faults(&self) -> Result<Vec<(usize, String)>, ControllerError> {
        let mut faults = Vec::new();
        for (index, controller) in self.controllers.iter().enumerate() {
            let log = std::fs::read(&controller.log_path);
            let log = log.map_err(ControllerError::file(&controller.log_path))?;
            let log = String::from_utf8_lossy(&log);
            let renewal_violation = format!("event={RENEWAL_VIOLATION}");
            let is_fault =
                |line: &&str| line.contains(&renewal_violation) || line.contains(PANIC_TEXT);
            faults.extend(log.lines().filter(is_fault).map(|line| (index, line.to_string())));
        }
        Ok(faults)
    }
}

/// Writes the settings and policy files of one controller.
fn prepare(
    config: &TestbedConfig<'_>,
    index: usize,
    addresses: ControllerAddresses,
) -> Result<Controller, ControllerError> {
    let name = Deployment::controller_name(index);
    let path = |extension: &str| config.directory.join(format!("{name}.{extension}"));
    let policy_path = write_policy(config.policy, path("policy"), addresses.administration)?;
    let settings_path = path("toml");
    let text = controller_settings::to_toml(config.deployment, index, &addresses)?;
    std::fs::write(&settings_path, text).map_err(ControllerError::file(&settings_path))?;
    let process = Mutex::new(None);
    Ok(Controller { addresses, settings_path, policy_path, log_path: path("log"), process })
}

/// Returns the path of a controller's policy file, if it has one. Writes the file if the policy is
/// given as entries.
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
