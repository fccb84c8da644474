//! Empty library. The package consists of the integration tests in `tests/`.
