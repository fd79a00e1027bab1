//! Stand-ins and experiments around petrellatch.

fn main() {}
