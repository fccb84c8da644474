//! measure
