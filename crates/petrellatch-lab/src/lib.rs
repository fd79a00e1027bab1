//! Stand-ins for everything around petrellatch, and the simulator.

pub mod simulator;
