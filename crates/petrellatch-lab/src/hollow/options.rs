//! Command-line options of the capacity measurement.

use std::path::PathBuf;

use gumdrop::Options;

/// Measures what the control group and the daemons cost at a given size, with
/// hollow daemons in this process over UDP on the loopback interface.
#[derive(Clone, Debug, Options)]
pub struct HollowOptions {
    /// Print this help.
    pub help: bool,
    /// Balancers and agents together.
    #[options(no_short, default = "500", meta = "N")]
    pub daemons: usize,
    /// Balancers among the daemons; by default one of 24.
    #[options(no_short, meta = "N")]
    pub balancers: Option<usize>,
    /// Back ends, spread over the agents.
    #[options(no_short, default = "4444", meta = "N")]
    pub backends: usize,
    /// Service addresses.
    #[options(no_short, default = "1861", meta = "N")]
    pub addresses: usize,
    /// Policies; each service uses one of them.
    #[options(no_short, default = "16", meta = "N")]
    pub policies: usize,
    /// Zones; by default one for 1,000 daemons.
    #[options(no_short, meta = "N")]
    pub zones: Option<usize>,
    /// Control replicas, all of them voters.
    #[options(no_short, default = "3", meta = "N")]
    pub controls: usize,
    /// Children of a relay among the balancers; if it exceeds the number of
    /// daemons, the control replicas serve all of them.
    #[options(no_short, default = "32", meta = "N")]
    pub fan_out: usize,
    /// Bytes a second that a control replica pushes to its children.
    #[options(no_short, default = "1000000", meta = "BYTES")]
    pub control_push: u64,
    /// Operator changes a second.
    #[options(no_short, default = "0.61", meta = "RATE")]
    pub changes_per_second: f64,
    /// Planned restarts of daemons a second.
    #[options(no_short, default = "0", meta = "RATE")]
    pub restarts_per_second: f64,
    /// Losses of daemons a second; each comes back empty after half a minute.
    #[options(no_short, default = "0", meta = "RATE")]
    pub failures_per_second: f64,
    /// Seconds that are measured.
    #[options(no_short, default = "60", meta = "SECONDS")]
    pub duration: u64,
    /// Restart all daemons at once at the end.
    #[options(no_short)]
    pub mass_restart: bool,
    /// Longest wait for the fleet to come up or to catch up, in seconds.
    #[options(no_short, default = "240", meta = "SECONDS")]
    pub patience: u64,
    /// Threads that drive agents; one more drives the balancers.
    #[options(no_short, default = "1", meta = "N")]
    pub threads: usize,
    /// Folder for the replicas' data; by default a temporary one.
    #[options(no_short, meta = "FOLDER")]
    pub data: Option<PathBuf>,
    /// Measure only the memory and time of a full copy of the view.
    #[options(no_short)]
    pub full_copy: bool,
    /// Seed of all random choices.
    #[options(no_short, default = "1", meta = "N")]
    pub seed: u64,
    /// Form of the report: text or json.
    #[options(no_short, default = "text", meta = "FORM")]
    pub output: String,
    /// Log at debug level.
    #[options(no_short)]
    pub verbose: bool,
}

impl HollowOptions {
    /// Returns how many of the daemons are balancers.
    pub fn balancer_count(&self) -> usize {
        const DAEMONS_OF_BALANCER: usize = 24;
        let share = self.daemons.div_ceil(DAEMONS_OF_BALANCER);
        self.balancers.unwrap_or(share).min(self.daemons)
    }

    /// Returns the number of zones.
    pub fn zone_count(&self) -> usize {
        const DAEMONS_OF_ZONE: usize = 1_000;
        let share = (self.daemons + DAEMONS_OF_ZONE / 2) / DAEMONS_OF_ZONE;
        self.zones.unwrap_or(share).max(1)
    }
}
