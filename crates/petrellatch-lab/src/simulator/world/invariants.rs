//! What must hold at every step, whatever callers see.
//!
//! These checks look into the processes. The checkers of the promises don't.

use std::collections::BTreeMap;
use std::hash::Hasher;

use petrellatch_core::cluster::ClusterView;
use petrellatch_core::consensus::{LogEntry, LogIndex, Role, Term};
use petrellatch_core::identity::{BucketIndex, ServiceId};
use prost::Message;
use siphasher::sip::SipHasher13;

use super::event::MachineIndex;
use super::machine::Machine;
use crate::simulator::engine::VirtualTime;
use crate::simulator::scenario::Violation;

/// What was seen of the versions of one process.
#[derive(Clone, Copy, Debug, Default)]
struct SeenVersions {
    life: u64,
    newest: u64,
    /// The newest version of any life that was current.
    current: u64,
}

/// Checks the invariants and keeps what it needs for that.
#[derive(Debug, Default)]
pub struct Invariants {
    leaders: BTreeMap<Term, MachineIndex>,
    views: BTreeMap<u64, u64>,
    versions: BTreeMap<MachineIndex, SeenVersions>,
    control_versions: BTreeMap<MachineIndex, u64>,
    committed: BTreeMap<LogIndex, LogEntry>,
    checked: BTreeMap<(MachineIndex, u64), LogIndex>,
    violations: Vec<Violation>,
}

impl Invariants {
    /// Returns what broke an invariant so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Notes that a process could not go on.
    pub fn report_failure(&mut self, now: VirtualTime, name: &str, message: &str) {
        self.add("process-failure", format!("{now}: {name}: {message}"));
    }

    /// Checks what one process did.
    pub fn check_machine(&mut self, now: VirtualTime, index: MachineIndex, machines: &[Machine]) {
        let machine = &machines[index];
        if let Some(control) = machine.control() {
            let replica = control.replica();
            if replica.role() == Role::Leader {
                self.check_leader(now, index, replica.term());
            }
            let view = control.state().view();
            let seen = self.control_versions.insert(index, view.version());
            if seen != Some(view.version()) {
                self.check_view(now, machine, view);
            }
        }
        if let Some(link) = machine.link() {
            let version = link.view().version();
            let is_current = link.is_current();
            let changed = self.check_version(now, index, machine, version, is_current);
            if changed {
                self.check_view(now, machine, link.view());
            }
        }
    }

    /// Checks that no bucket has two agents that would admit a flow.
    pub fn check_owners(&mut self, now: VirtualTime, machines: &[Machine]) {
        let agents: Vec<&Machine> = machines.iter().filter(|it| it.agent().is_some()).collect();
        let mut owners: BTreeMap<(ServiceId, BucketIndex), &str> = BTreeMap::new();
        for machine in agents {
            let Some(agent) = machine.agent().filter(|_| machine.frozen == 0) else {
                continue;
            };
            for owned in agent.admitted_buckets(machine.local(now)) {
                if let Some(other) = owners.insert(owned, &machine.name) {
                    let (service, bucket) = owned;
                    let name = &machine.name;
                    let detail = format!(
                        "{now}: {other} and {name} both admit in bucket {bucket} of service \
                         {service}"
                    );
                    self.violations.push(Violation {
                        checker: "one-owner",
                        detail,
                    });
                    return;
                }
            }
        }
    }

    /// Checks that committed entries are the same at all replicas and stay.
    pub fn check_logs(&mut self, now: VirtualTime, machines: &[Machine]) {
        for (index, machine) in machines.iter().enumerate() {
            let Some(control) = machine.control() else {
                continue;
            };
            let commit_index = control.replica().commit_index();
            let life = (index, machine.life);
            let from = self.checked.get(&life).copied().unwrap_or(0);
            for entry in &machine.control_disk.synced().state.entries {
                let at = entry.position.index;
                if at <= from || at > commit_index {
                    continue;
                }
                let known = self.committed.entry(at).or_insert_with(|| entry.clone());
                if known != entry {
                    let name = &machine.name;
                    let detail = format!("{now}: {name} has another committed entry {at}");
                    self.violations.push(Violation {
                        checker: "log-entries",
                        detail,
                    });
                }
                self.checked.insert(life, at);
            }
        }
    }

    fn check_leader(&mut self, now: VirtualTime, index: MachineIndex, term: Term) {
        let known = *self.leaders.entry(term).or_insert(index);
        if known != index {
            let detail = format!("{now}: replicas {known} and {index} both lead term {term}");
            self.add("one-leader", detail);
        }
    }

    /// The records of a version are the same everywhere.
    fn check_view(&mut self, now: VirtualTime, machine: &Machine, view: &ClusterView) {
        let version = view.version();
        let digest = digest(view);
        let known = *self.views.entry(version).or_insert(digest);
        if known != digest {
            let name = &machine.name;
            self.add(
                "same-records",
                format!("{now}: {name} has other records of version {version}"),
            );
        }
    }

    /// Versions never go back in a life, and a process that says that it is
    /// current has all that an earlier life had when it was current.
    fn check_version(
        &mut self,
        now: VirtualTime,
        index: MachineIndex,
        machine: &Machine,
        version: u64,
        is_current: bool,
    ) -> bool {
        let seen = self.versions.entry(index).or_default();
        if seen.life != machine.life {
            seen.life = machine.life;
            seen.newest = 0;
        }
        let newest = seen.newest;
        let current = seen.current;
        seen.newest = newest.max(version);
        if is_current {
            seen.current = current.max(version);
        }
        let name = &machine.name;
        if version < newest {
            let detail = format!("{now}: {name} went back from version {newest} to {version}");
            self.add("versions-never-go-back", detail);
        } else if is_current && version < current {
            let detail = format!("{now}: {name} acts on {version} after it acted on {current}");
            self.add("versions-never-go-back", detail);
        }
        version != newest
    }

    fn add(&mut self, checker: &'static str, detail: String) {
        self.violations.push(Violation { checker, detail });
    }
}

fn digest(view: &ClusterView) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    for record in view.records() {
        hasher.write(&record.encode_to_vec());
    }
    hasher.finish()
}
