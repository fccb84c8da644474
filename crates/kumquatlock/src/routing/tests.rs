//! Tests of the routing decisions.
