//! The command line.

use std::path::PathBuf;

use gumdrop::Options;

/// petrellatch: a layer-4 load balancer whose flows survive changes.
///
/// Run `petrellatch COMMAND --help` for the options of a command.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print this help.
    pub help: bool,
    /// Print the version.
    #[options(short = "V")]
    pub version: bool,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command of the binary.
#[derive(Debug, Options)]
pub enum Command {
    /// Run a control replica.
    Control(DaemonOptions),
    /// Run a balancer.
    Balancer(DaemonOptions),
    /// Run an agent beside back ends.
    Agent(DaemonOptions),
    /// Read and change the configuration as an operator.
    Ctl(CtlOptions),
    /// Check settings files and print all problems.
    Check(CheckOptions),
    /// Print log lines about one flow or one configuration version, or a
    /// summary of all flows by time.
    Logs(LogsOptions),
}

/// Runs one process of the system until it receives SIGTERM or SIGINT, then
/// stops it gracefully: open flows and requests are not cut.
///
/// Every option can also be set in the settings file; the command line takes
/// precedence.
/// When all addresses are open, one line of JSON with the addresses is
/// printed to standard output; the log goes to standard error.
#[derive(Clone, Debug, Default, Options)]
pub struct DaemonOptions {
    /// Print this help.
    pub help: bool,
    /// Settings file (TOML).
    #[options(meta = "FILE")]
    pub settings: Option<PathBuf>,
    /// Node name, unique in the cluster.
    #[options(meta = "NAME", no_short)]
    pub name: Option<String>,
    /// Zone of this machine.
    #[options(meta = "ZONE", no_short)]
    pub zone: Option<String>,
    /// Folder for all files of this process.
    #[options(meta = "FOLDER", no_short)]
    pub data_folder: Option<String>,
    /// File with the cluster key: 32 hexadecimal digits.
    #[options(meta = "FILE", no_short)]
    pub key_file: Option<String>,
    /// A control replica; give one for each replica, the same everywhere.
    #[options(meta = "NAME=CONTROL[,OPERATOR]", no_short)]
    pub replica: Vec<String>,
    /// Address for control messages (UDP).
    #[options(meta = "IP:PORT", no_short)]
    pub control_address: Option<String>,
    /// Address for caller packets (UDP); balancer and agent only.
    #[options(meta = "IP:PORT", no_short)]
    pub data_address: Option<String>,
    /// Address for health and metrics (HTTP).
    #[options(meta = "IP:PORT", no_short)]
    pub admin_address: Option<String>,
    /// Address for operators (HTTP); control only.
    #[options(meta = "IP:PORT", no_short)]
    pub operator_address: Option<String>,
    /// Where the fabric receives response packets (UDP); agent only.
    #[options(meta = "IP:PORT", no_short)]
    pub fabric_address: Option<String>,
    /// URL of the platform's list of machines; control only.
    #[options(meta = "URL", no_short)]
    pub platform_list_url: Option<String>,
    /// Path at which back ends report whether they are draining; agent only.
    #[options(meta = "PATH", no_short)]
    pub health_path: Option<String>,
    /// Create the control group: format the empty data folder of a listed
    /// replica as one of its first voters. Once for each replica; control only.
    #[options(no_short)]
    pub bootstrap: bool,
    /// Log format: terminal or json.
    #[options(meta = "FORMAT", no_short)]
    pub log_format: Option<String>,
    /// Lowest level logged: debug, info, warning or error.
    #[options(meta = "LEVEL", no_short)]
    pub log_level: Option<String>,
}

/// Checks settings files and prints each problem with its location.
///
/// Exit code 0: all files are valid. Exit code 2: a problem was found.
#[derive(Debug, Default, Options)]
pub struct CheckOptions {
    /// Print this help.
    pub help: bool,
    /// Role (control, balancer or agent): also check for missing settings.
    #[options(meta = "ROLE", no_short)]
    pub role: Option<String>,
    /// Print all keys with their allowed values, and exit.
    #[options(no_short)]
    pub keys: bool,
    /// Settings files.
    #[options(free)]
    pub files: Vec<PathBuf>,
}

/// Prints log lines about one flow or one version of the configuration, ordered
/// by their timestamps, and names missing lines; or prints a summary of all
/// flows by time slices, with the most important causes.
///
/// Without files, standard input is read. Lines that are not log lines are
/// ignored.
#[derive(Debug, Default, Options)]
pub struct LogsOptions {
    /// Print this help.
    pub help: bool,
    /// The flow: CALLER:PORT>ROUTE:PORT, or CALLER:PORT alone.
    #[options(meta = "FLOW", no_short)]
    pub flow: Option<String>,
    /// The configuration version.
    #[options(meta = "VERSION", no_short)]
    pub configuration: Option<u64>,
    /// Count all lines by time slices, and print the most important causes.
    #[options(no_short)]
    pub summary: bool,
    /// Width of a slice; by default the table fits on a screen.
    #[options(meta = "MILLISECONDS", no_short)]
    pub slice: Option<u64>,
    /// Print the summary as one JSON document.
    #[options(no_short)]
    pub json: bool,
    /// Files with log lines, of any processes in any order.
    #[options(free)]
    pub files: Vec<PathBuf>,
}

/// Reads and changes the configuration through the operator API.
///
/// A change is sent with the configuration version that it is based on and a
/// request id. It is retried with the same id until the outcome is known or the
/// deadline has passed, so it takes effect at most once. Exit codes: see
/// docs/ERRORS.md.
#[derive(Debug, Default, Options)]
pub struct CtlOptions {
    /// Print this help.
    pub help: bool,
    /// Operator address of a control replica; may be given several times.
    #[options(meta = "IP:PORT", no_short)]
    pub server: Vec<String>,
    /// Deadline of the command in seconds, retries included.
    #[options(meta = "SECONDS", no_short, default = "30")]
    pub deadline: u64,
    /// Maximum number of retries within the deadline.
    #[options(meta = "COUNT", no_short, default = "20")]
    pub retries: u32,
    /// Output: text or json.
    #[options(meta = "FORMAT", short = "o", default = "text")]
    pub output: OutputFormat,
    /// The operator command.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// The output format of `ctl`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(OutputFormat::Text),
            "json" => Ok(OutputFormat::Json),
            other => Err(format!("'{other}' is not allowed; allowed: text, json")),
        }
    }
}

/// One operator command.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Make the configuration equal to a document.
    Apply(ApplyOptions),
    /// Print the configuration.
    Get(GetOptions),
    /// Drain a back end or node: give it no new flows.
    Drain(DrainOptions),
    /// End the drain of a back end or node.
    Undrain(DrainOptions),
    /// Take a zone out of service.
    Evacuate(ZoneOptions),
    /// Take a zone back into service.
    Restore(ZoneOptions),
    /// Print members, services and versions.
    Status(StatusOptions),
    /// Wait until a version is active at every member.
    Wait(WaitOptions),
    /// List, add or remove control replicas.
    Replica(ReplicaOptions),
    /// Check, apply, list, remove or explain policies.
    Policy(PolicyOptions),
}

/// Makes the configuration equal to a document of services, back ends and
/// policies in TOML or JSON.
///
/// Entries that the document does not name stay as they are, unless --prune is
/// given.
#[derive(Debug, Default, Options)]
pub struct ApplyOptions {
    /// Print this help.
    pub help: bool,
    /// The document (TOML, or JSON when the name ends in .json).
    #[options(free)]
    pub file: Option<PathBuf>,
    /// Base the change on this version instead of the current one.
    #[options(meta = "VERSION", no_short)]
    pub based_on: Option<u64>,
    /// On a conflict read the configuration again and retry.
    #[options(no_short)]
    pub rebase: bool,
    /// Remove entries that the document does not name.
    #[options(no_short)]
    pub prune: bool,
    /// Request id (default random); reuse it if the response was lost.
    #[options(meta = "ID", no_short)]
    pub request_id: Option<String>,
}

/// Prints the configuration as a document that `apply` accepts.
#[derive(Debug, Default, Options)]
pub struct GetOptions {
    /// Print this help.
    pub help: bool,
}

/// Starts or ends a drain. Open flows stay open.
///
/// Give `backend NAME` for one back end, `node NAME` for a balancer or agent.
#[derive(Debug, Default, Options)]
pub struct DrainOptions {
    /// Print this help.
    pub help: bool,
    /// What to drain: backend or node; then its name.
    #[options(free)]
    pub target: Vec<String>,
}

/// Takes all back ends of a zone out of service, or back into it. Open flows
/// stay open.
///
/// Back ends that are created in the zone meanwhile get no new flows either. The
/// evacuation of a service's last zone is refused.
#[derive(Debug, Default, Options)]
pub struct ZoneOptions {
    /// Print this help.
    pub help: bool,
    /// The word zone; then its name.
    #[options(free)]
    pub target: Vec<String>,
}

/// Prints the versions, the members and the services.
#[derive(Debug, Default, Options)]
pub struct StatusOptions {
    /// Print this help.
    pub help: bool,
}

/// Waits until a version is active at every balancer and agent.
#[derive(Debug, Default, Options)]
pub struct WaitOptions {
    /// Print this help.
    pub help: bool,
    /// The version.
    #[options(meta = "VERSION", no_short)]
    pub version: Option<u64>,
    /// The newest version at the time of the request.
    #[options(no_short)]
    pub latest: bool,
    /// Seconds to wait.
    #[options(meta = "SECONDS", no_short, default = "30")]
    pub timeout: u64,
}

/// Lists or changes the control replicas.
///
/// `list`: prints them, and replicas that have announced themselves.
/// `add NAME`: adds a running replica; it votes once it has caught up.
/// `remove NAME`: removes a replica; stop its process after that.
#[derive(Debug, Default, Options)]
pub struct ReplicaOptions {
    /// Print this help.
    pub help: bool,
    /// list, add NAME, or remove NAME.
    #[options(free)]
    pub arguments: Vec<String>,
    /// To add: the incarnation that the replica printed when it started, if
    /// it has not announced itself to the leader.
    #[options(meta = "HEX", no_short)]
    pub incarnation: Option<String>,
}

/// Checks, explains or changes placement policies.
///
/// `check FILE`: checks the policies of a document on the cluster's back ends.
/// `explain SERVICE`: prints what the policy decides for each back end.
///
/// In the pass-through tier:
/// `apply FILE`: applies the policies of a document.
/// `list`: prints the active policies.
/// `remove NAME`: removes a policy.
#[derive(Debug, Default, Options)]
pub struct PolicyOptions {
    /// Print this help.
    pub help: bool,
    /// check FILE, explain SERVICE, apply FILE, list, or remove NAME.
    #[options(free)]
    pub arguments: Vec<String>,
    /// Refuse the change unless the policies are still at this index.
    #[options(meta = "INDEX", no_short)]
    pub based_on: Option<u64>,
}
