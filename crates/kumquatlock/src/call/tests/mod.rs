//! Tests of calls through an in-memory simulation of one entry node, several destination nodes and
//! their claim holders.

mod accounts;
mod attempt_counters;
mod extra_arrivals;
mod failures;
mod full;
mod hostile;
mod keyed;
mod leave;
mod load;
mod nested;
mod not_run;
mod not_run_model;
mod outcomes;
mod processes;
mod quarantine;
mod quota;
mod rate_limit;
mod remembered;
mod rollout;
mod silence;
mod simulation;
mod stop;
