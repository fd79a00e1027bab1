//! Tests of the balancer.
