//! Settings of a balancer.

use std::time::Duration;

use crate::dissemination::{LinkSettings, RelaySettings};

/// What a balancer needs to know before it starts.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// The link to the control group, with the relay for other daemons.
    pub link: LinkSettings,
    /// How long a stopping balancer goes on to pass packets, so that the
    /// fabric can learn that it leaves.
    pub stop_delay: Duration,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            link: LinkSettings {
                relay: Some(RelaySettings::default()),
                ..LinkSettings::default()
            },
            stop_delay: Duration::from_secs(3),
        }
    }
}
