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

/// What the binary is asked to do.
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
    /// Check a settings file and print everything that is wrong in it.
    Check(CheckOptions),
    /// Print what the logs say about one flow, one configuration version, or
    /// all flows by time.
    Logs(LogsOptions),
}

/// Runs one process of the system until it receives SIGTERM or SIGINT, then
/// stops it without cutting what is in progress.
///
/// Every option can also stand in the settings file; an option given here wins.
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
    /// Where the fabric receives answer packets (UDP); agent only.
    #[options(meta = "IP:PORT", no_short)]
    pub fabric_address: Option<String>,
    /// URL of the platform's list of machines; control only.
    #[options(meta = "URL", no_short)]
    pub platform_list_url: Option<String>,
    /// Path at which back ends say whether they are draining; agent only.
    #[options(meta = "PATH", no_short)]
    pub health_path: Option<String>,
    /// Found the control group: format the empty data folder of a listed
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

/// Reads a settings file and prints everything that is wrong and where.
///
/// Exit code 0: nothing is wrong. Exit code 2: something is.
#[derive(Debug, Default, Options)]
pub struct CheckOptions {
    /// Print this help.
    pub help: bool,
    /// Also check that nothing is missing: control, balancer or agent.
    #[options(meta = "ROLE", no_short)]
    pub role: Option<String>,
    /// Print all keys with what is allowed, and stop.
    #[options(no_short)]
    pub keys: bool,
    /// Settings files.
    #[options(free)]
    pub files: Vec<PathBuf>,
}

/// Prints what processes logged about one flow or one version of the
/// configuration, in the order of their clocks, with what is missing; or a
/// summary of all flows by slices of time, with the first causes.
///
/// Without files, standard input is read. Lines that are no log lines are
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
    /// Count all lines by slices of time, and tell the first causes.
    #[options(no_short)]
    pub summary: bool,
    /// Width of a slice; by default a screen holds the table.
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
/// request id. It is resent with the same id until the answer is known or the
/// deadline is over, so it takes effect once at most. Exit codes: see
/// docs/ERRORS.md.
#[derive(Debug, Default, Options)]
pub struct CtlOptions {
    /// Print this help.
    pub help: bool,
    /// Operator address of a control replica; may be given several times.
    #[options(meta = "IP:PORT", no_short)]
    pub server: Vec<String>,
    /// Seconds after which the command gives up, retries included.
    #[options(meta = "SECONDS", no_short, default = "30")]
    pub deadline: u64,
    /// Most resends within the deadline.
    #[options(meta = "COUNT", no_short, default = "20")]
    pub retries: u32,
    /// Output: text or json.
    #[options(meta = "FORMAT", short = "o", default = "text")]
    pub output: OutputFormat,
    /// What to do.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// How `ctl` prints its result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
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
    /// Give a back end or node no new work.
    Drain(DrainOptions),
    /// Give a back end or node new work again.
    Undrain(DrainOptions),
    /// Take a zone out of service.
    Evacuate(ZoneOptions),
    /// Take a zone back into service.
    Restore(ZoneOptions),
    /// Print members, services and versions.
    Status(StatusOptions),
    /// Wait until a version is in force at every member.
    Wait(WaitOptions),
    /// List, add or remove control replicas.
    Replica(ReplicaOptions),
    /// Check, apply, list, remove or explain policies.
    Policy(PolicyOptions),
}

/// Makes the configuration equal to a document of services, back ends and
/// policies in TOML or JSON.
///
/// What the document does not name stays as it is, unless --prune is given.
#[derive(Debug, Default, Options)]
pub struct ApplyOptions {
    /// Print this help.
    pub help: bool,
    /// The document (TOML, or JSON when the name ends in .json).
    #[options(free)]
    pub file: Option<PathBuf>,
    /// Base the change on this version in place of the current one.
    #[options(meta = "VERSION", no_short)]
    pub based_on: Option<u64>,
    /// On a conflict read the configuration again and retry.
    #[options(no_short)]
    pub rebase: bool,
    /// Remove what the document does not name.
    #[options(no_short)]
    pub prune: bool,
    /// Request id (default random); give it again if the answer was lost.
    #[options(meta = "ID", no_short)]
    pub request_id: Option<String>,
}

/// Prints the configuration as a document that `apply` accepts.
#[derive(Debug, Default, Options)]
pub struct GetOptions {
    /// Print this help.
    pub help: bool,
}

/// Starts or ends a drain. What is open stays open.
///
/// Give `backend NAME` for one back end, `node NAME` for a balancer or agent.
#[derive(Debug, Default, Options)]
pub struct DrainOptions {
    /// Print this help.
    pub help: bool,
    /// The kind of thing: backend or node; then its name.
    #[options(free)]
    pub target: Vec<String>,
}

/// Takes all back ends of a zone out of service, or back. What is open stays open.
///
/// Back ends that are created there meanwhile get nothing either. The last zone
/// in service of a service is refused.
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

/// Waits until every balancer and agent has a version in force.
#[derive(Debug, Default, Options)]
pub struct WaitOptions {
    /// Print this help.
    pub help: bool,
    /// The version.
    #[options(meta = "VERSION", no_short)]
    pub version: Option<u64>,
    /// The newest version at the time of asking.
    #[options(no_short)]
    pub latest: bool,
    /// Seconds to wait.
    #[options(meta = "SECONDS", no_short, default = "30")]
    pub timeout: u64,
}

/// Works on the set of control replicas.
///
/// `list`: prints them, with those that ask to be added.
/// `add NAME`: adds a replica that runs; it votes once it has caught up.
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

/// Works on policies.
///
/// `check FILE`: checks the policies of a document on the cluster's back ends.
/// `explain SERVICE`: prints what the policy decides for each back end.
///
/// For flows that are passed through:
/// `apply FILE`: puts the policies of a document in force.
/// `list`: prints the policies in force.
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
