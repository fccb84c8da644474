//! Tests of processes whose callers, upstreams and other nodes hold on to their memory.
//!
//! Each test starts processes with a lowered memory, presses them with a crowd of clients that stay
//! open, and checks what does not depend on the speed of the host: that each process lives, that
//! its peak memory and its descriptors stay within its settings, and that an ordinary request is
//! answered afterwards. The crowds are larger than the memory. The tests of this binary run one
//! after the other.

mod clients;
mod control;
mod host;
mod node;
