//! One child process.

use std::ffi::OsString;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{ProcessError, WaitError, wait_for};

/// Lines of a log that become part of an error.
const LOG_TAIL_LINES: usize = 20;

/// Longest wait for a process to end after SIGKILL.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

/// A binary of this workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramName {
    /// `kumquatlock-control`.
    Control,
    /// `kumquatlock-node`.
    Node,
}

impl ProgramName {
    fn file_name(self) -> &'static str {
        match self {
            ProgramName::Control => "kumquatlock-control",
            ProgramName::Node => "kumquatlock-node",
        }
    }

    /// Path of the binary in the target folder that the current executable was built into.
    pub fn locate(self) -> Result<PathBuf, ProcessError> {
        let executable = std::env::current_exe()
            .map_err(ProcessError::prepare("the path of the test program"))?;
        self.locate_beside(&executable)
    }

    pub(super) fn locate_beside(self, executable: &Path) -> Result<PathBuf, ProcessError> {
        let folder = profile_folder(executable);
        let path = folder.join(self.file_name());
        if path.is_file() {
            return Ok(path);
        }
        let profile = match folder.file_name().and_then(|name| name.to_str()) {
            Some("release") => " --release".to_owned(),
            Some("debug") | None => String::new(),
            Some(profile) => format!(" --profile {profile}"),
        };
        Err(ProcessError::NotBuilt {
            program: self,
            path,
            command: format!("cargo build{profile} -p kumquatlock-control -p kumquatlock-node"),
        })
    }
}

impl std::fmt::Display for ProgramName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.file_name())
    }
}

/// Folder of a build profile: tests lie in its `deps`, examples in its `examples`.
pub(super) fn profile_folder(executable: &Path) -> &Path {
    let folder = executable.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    }
}

/// How a process is started, and started again.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Name of the process in errors and of its log file.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// The whole environment of the process, so that variables of the test program do not change
    /// its settings.
    pub variables: Vec<(String, OsString)>,
    /// Folder of the log file `<name>.log`, which holds standard output and standard error.
    pub log_dir: PathBuf,
}

impl ProcessPlan {
    /// Path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.log_dir.join(format!("{}.log", self.name))
    }

    /// Starts the process. A further start appends to the log.
    pub fn start(self) -> Result<ManagedProcess, ProcessError> {
        let child = self.spawn()?;
        Ok(ManagedProcess {
            plan: self,
            child,
            status: None,
        })
    }

    fn spawn(&self) -> Result<Child, ProcessError> {
        let open = || {
            fs::create_dir_all(&self.log_dir)?;
            let log = File::options()
                .create(true)
                .append(true)
                .open(self.log_path())?;
            Ok((log.try_clone()?, log))
        };
        let (output, errors) =
            open().map_err(ProcessError::prepare(self.log_path().display().to_string()))?;
        Command::new(&self.program)
            .args(&self.arguments)
            .env_clear()
            .env("RUST_BACKTRACE", "1")
            .envs(self.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|source| ProcessError::Start {
                name: self.name.clone(),
                source,
            })
    }
}

/// A started process. It is killed when it is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    plan: ProcessPlan,
    child: Child,
    /// Set once the end of the process has been read; its id may then belong to another one.
    status: Option<ExitStatus>,
}

impl ManagedProcess {
    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How the process ended, or nothing while it runs.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        if self.status.is_none() {
            let status = self.child.try_wait();
            self.status = status.map_err(|source| self.signal_error(source))?;
        }
        Ok(self.status)
    }

    /// An error if the process has ended.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        match self.status()? {
            None => Ok(()),
            Some(status) => Err(self.ended_error(status)),
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) -> Result<ExitStatus, ProcessError> {
        self.send(Signal::KILL)?;
        self.wait_exit(KILL_TIMEOUT)
    }

    /// Freezes the process with SIGSTOP. Its sockets stay open.
    pub fn pause(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::STOP)
    }

    /// Continues a frozen process with SIGCONT.
    pub fn resume(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::CONT)
    }

    /// Sends SIGTERM without waiting.
    pub fn terminate(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::TERM)
    }

    /// Waits for the end of the process.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let started = Instant::now();
        let waited: Result<_, WaitError> =
            wait_for("end of the process", timeout, || match self.status() {
                Ok(Some(status)) => Ok(Ok(status)),
                Ok(None) => Err("it runs"),
                Err(error) => Ok(Err(error)),
            });
        waited.unwrap_or_else(|_| {
            Err(ProcessError::StillRunning {
                name: self.plan.name.clone(),
                after: started.elapsed(),
                log_tail: self.log_tail(),
            })
        })
    }

    /// Sends SIGTERM and waits; an error unless the process ends with status 0.
    pub fn stop(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        self.terminate()?;
        self.expect_success(timeout)
    }

    /// Waits for the end of the process; an error unless its status is 0.
    pub fn expect_success(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        let status = self.wait_exit(timeout)?;
        if status.success() {
            Ok(())
        } else {
            Err(self.ended_error(status))
        }
    }

    /// Kills the process if it runs and starts it again with the same plan.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        self.kill()?;
        self.child = self.plan.spawn()?;
        self.status = None;
        Ok(())
    }

    /// The plan; a change applies from the next start.
    pub fn plan_mut(&mut self) -> &mut ProcessPlan {
        &mut self.plan
    }

    /// Everything that the process has printed.
    pub fn log_text(&self) -> String {
        let bytes = fs::read(self.plan.log_path()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The lines of the log that are JSON.
    pub fn log_records(&self) -> Vec<serde_json::Value> {
        let text = self.log_text();
        let records = text.lines().map(serde_json::from_str);
        records.filter_map(Result::ok).collect()
    }

    /// The last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = self.log_text();
        let mut lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
        lines.reverse();
        lines.join("\n")
    }

    /// Sends a signal; nothing happens if the process has ended.
    fn send(&mut self, signal: Signal) -> Result<(), ProcessError> {
        if self.status()?.is_some() {
            return Ok(());
        }
        let raw = i32::try_from(self.child.id()).ok();
        let pid = raw.and_then(Pid::from_raw);
        let sent = pid.ok_or(rustix::io::Errno::SRCH);
        sent.and_then(|pid| kill_process(pid, signal))
            .map_err(|error| self.signal_error(error.into()))
    }

    fn signal_error(&self, source: std::io::Error) -> ProcessError {
        ProcessError::Signal {
            name: self.plan.name.clone(),
            source,
        }
    }

    fn ended_error(&self, status: ExitStatus) -> ProcessError {
        ProcessError::Ended {
            name: self.plan.name.clone(),
            status,
            log_tail: self.log_tail(),
        }
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        if self.status.is_none() {
            // Fails only if the process has ended by itself.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
