//! Announcements of this replica's zone to the other replicas.

use super::*;

/// Interval between announcements. It need not be shorter, since a machine that is lost for
/// good is replaced after two seconds at the earliest.
const ZONE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between the first announcements after the start, when the group may be forming.
const INITIAL_ZONE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of announcements after the start that are sent at that interval.
const INITIAL_ZONE_ANNOUNCEMENTS: u32 = 10;

impl ConfigurationNode {
    /// Announces this replica's zone to the others, if that is due: often at first, since the
    /// group may be forming.
    pub(super) fn announce_zone(&mut self, now: Timestamp) {
        if now < self.next_zone_announcement_at {
            return;
        }
        self.zone_announcements += 1;
        let interval = match self.zone_announcements <= INITIAL_ZONE_ANNOUNCEMENTS {
            true => INITIAL_ZONE_INTERVAL,
            false => ZONE_INTERVAL,
        };
        self.next_zone_announcement_at = now + interval;
        let own = self.replica.id().node;
        let zone = self.settings.zone.clone();
        self.membership_manager.note_zone(own, zone.clone());
        let members = self.replica.membership().members().iter();
        let members = members.map(|member| address_of_node_id(member.replica.node));
        let others: BTreeSet<SocketAddrV4> = members.chain(self.known_replicas.all()).collect();
        for other in others {
            if node_id_of_address(other) != own {
                let announcement = ReplicaZone { zone: zone.clone() };
                self.send(other, PassThroughBody::ReplicaZone(announcement));
            }
        }
    }
}
