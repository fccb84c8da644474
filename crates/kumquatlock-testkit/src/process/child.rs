//! Starts, signals and stops one child process, and reads its log.

use std::ffi::OsString;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{ProcessError, WaitError, wait_for};

/// Number of lines at the end of the log that are included in an error.
const LOG_TAIL_LINES: usize = 20;

/// Maximum wait for a process to end after SIGKILL.
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

    /// Returns the path of the binary in the build folder of the current executable.
    pub fn locate(self) -> Result<PathBuf, ProcessError> {
        let executable = std::env::current_exe()
            .map_err(ProcessError::prepare("the path of the current executable"))?;
        self.locate_next_to(&executable)
    }

    pub(super) fn locate_next_to(self, executable: &Path) -> Result<PathBuf, ProcessError> {
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

/// Returns the folder of the build profile that the executable belongs to. Test executables are in
/// its subfolder `deps` and examples in `examples`.
pub(super) fn profile_folder(executable: &Path) -> &Path {
    let folder = executable.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    }
}

/// Describes how a process is started and restarted.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Name of the process, used in errors and for its log file.
    pub name: String,
    /// Path of the program.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// Environment variables of the process. Apart from `RUST_BACKTRACE` it has no others, so that
    /// the environment of the test program does not change its settings.
    pub variables: Vec<(String, OsString)>,
    /// Folder of the log file `<name>.log`, which holds standard output and standard error.
    pub log_dir: PathBuf,
}

impl ProcessPlan {
    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.log_dir.join(format!("{}.log", self.name))
    }

    /// Starts the process. Its output is appended to an existing log file.
    pub fn start(self) -> Result<ManagedProcess, ProcessError> {
        let child = self.spawn()?;
        Ok(ManagedProcess {
            plan: self,
            child,
            status: None,
        })
    }

    fn spawn(&self) -> Result<Child, ProcessError> {
        let open_log = || {
            fs::create_dir_all(&self.log_dir)?;
            let log = File::options()
                .create(true)
                .append(true)
                .open(self.log_path())?;
            Ok((log.try_clone()?, log))
        };
        let (stdout, stderr) =
            open_log().map_err(ProcessError::prepare(self.log_path().display().to_string()))?;
        Command::new(&self.program)
            .args(&self.arguments)
            .env_clear()
            .env("RUST_BACKTRACE", "1")
            .envs(self.variables.iter().cloned())
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(|source| ProcessError::Start {
                name: self.name.clone(),
                source,
            })
    }
}

/// A started process. Dropping it kills the process.
#[derive(Debug)]
pub struct ManagedProcess {
    plan: ProcessPlan,
    child: Child,
    /// Exit status, once it has been read. From then on the process id may belong to another
    /// process.
    status: Option<ExitStatus>,
}

impl ManagedProcess {
    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        if self.status.is_none() {
            let status = self.child.try_wait();
            self.status = status.map_err(|source| self.signal_error(source))?;
        }
        Ok(self.status)
    }

    /// Returns an error if the process has ended.
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

    /// Pauses the process with SIGSTOP. Its sockets stay open.
    pub fn pause(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::CONT)
    }

    /// Sends SIGTERM and does not wait for the process to end.
    pub fn terminate(&mut self) -> Result<(), ProcessError> {
        self.send(Signal::TERM)
    }

    /// Waits for the process to end and returns its exit status.
    pub fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let started = Instant::now();
        let waited: Result<_, WaitError> =
            wait_for("the process has ended", timeout, || match self.status() {
                Ok(Some(status)) => Ok(Ok(status)),
                Ok(None) => Err("the process is still running"),
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

    /// Sends SIGTERM and waits for the process to end. Fails unless its exit status is 0.
    pub fn stop(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        self.terminate()?;
        self.expect_success(timeout)
    }

    /// Waits for the process to end. Fails unless its exit status is 0.
    pub fn expect_success(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        let status = self.wait_exit(timeout)?;
        if status.success() {
            Ok(())
        } else {
            Err(self.ended_error(status))
        }
    }

    /// Kills the process if it is running and starts it again with the current plan.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        self.kill()?;
        self.child = self.plan.spawn()?;
        self.status = None;
        Ok(())
    }

    /// Returns the plan. Changes take effect at the next restart.
    pub fn plan_mut(&mut self) -> &mut ProcessPlan {
        &mut self.plan
    }

    /// Returns the whole log: the standard output and standard error of all starts.
    pub fn log_text(&self) -> String {
        let bytes = fs::read(self.plan.log_path()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the log lines that are valid JSON.
    pub fn log_records(&self) -> Vec<serde_json::Value> {
        let text = self.log_text();
        let records = text.lines().map(serde_json::from_str);
        records.filter_map(Result::ok).collect()
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = self.log_text();
        let mut lines: Vec<&str> = text.lines().rev().take(LOG_TAIL_LINES).collect();
        lines.reverse();
        lines.join("\n")
    }

    /// Sends a signal. Does nothing if the process has ended.
    fn send(&mut self, signal: Signal) -> Result<(), ProcessError> {
        if self.status()?.is_some() {
            return Ok(());
        }
        let raw_pid = i32::try_from(self.child.id()).ok();
        let pid = raw_pid.and_then(Pid::from_raw);
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
            // Fails only if the process has already ended.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
