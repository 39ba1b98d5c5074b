//! Simulated inference engine with a limited batch, serial prefill and an LRU prefix cache.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use beryltray_lib::target::wire::LoadReport;

/// Relative increase of the time per token in a full batch over a single request.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// Performance of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel {
    /// Maximum number of requests in the batch.
    pub(crate) batch_limit_requests: usize,
    /// Time per token of a request that is alone in the batch.
    pub(crate) time_per_token: Duration,
    /// Prefill time if the prefix is not cached.
    pub(crate) prefill_miss: Duration,
    /// Prefill time if the prefix is cached.
    pub(crate) prefill_hit: Duration,
    /// Capacity of the cache, in prefixes.
    pub(crate) cached_prefixes: usize,
}

impl EngineModel {
    /// Returns the generation time of an answer in a full batch, without the prefill.
    pub(crate) fn full_batch_time(&self, tokens: f64) -> Duration {
        self.time_per_token
            .mul_f64(tokens * (1.0 + FULL_BATCH_SLOWDOWN))
    }
}

/// A request as submitted to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineRequest {
    /// The submitter's index of the request.
    pub(crate) number: usize,
    /// Identifies the prompt's prefix in the cache.
    pub(crate) prefix: usize,
    /// Length of the answer, in tokens.
    pub(crate) tokens: u64,
}

/// A request that has entered the batch, and its computed times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRequest {
    pub(crate) request: EngineRequest,
    /// When the prefill ends.
    pub(crate) first_token_at: Instant,
    /// When the last token is generated.
    pub(crate) finished_at: Instant,
    /// Whether the prefix was cached.
    pub(crate) is_hit: bool,
}

/// An engine with its queue, its batch and its prefix cache.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    model: EngineModel,
    /// Factor on the prefill and generation times; 1 is normal speed.
    slowdown: f64,
    queue: VecDeque<EngineRequest>,
    running: usize,
    /// When the prefills of all requests in the batch are done; prefills run one at a time.
    prefill_free_at: Instant,
    /// Cached prefixes, the most recently used last.
    cache: Vec<usize>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub(crate) fn new(model: EngineModel, now: Instant) -> Self {
        Self {
            model,
            slowdown: 1.0,
            queue: VecDeque::new(),
            running: 0,
            prefill_free_at: now,
            cache: Vec::new(),
        }
    }

    /// Sets the factor on the times of requests that start from now on. A factor of 1 is normal
    /// speed.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Queues a request. Returns the next queued request if the batch has room for it.
    pub(crate) fn submit(
        &mut self,
        request: EngineRequest,
        now: Instant,
    ) -> Option<StartedRequest> {
        self.queue.push_back(request);
        self.start_next(now)
    }

    /// Removes an ended request from the batch. Returns the next request that starts, if any.
    pub(crate) fn finish(&mut self, now: Instant) -> Option<StartedRequest> {
        self.running = self.running.saturating_sub(1);
        self.start_next(now)
    }

    /// Removes a request from the queue. Returns whether it was queued.
    pub(crate) fn remove_queued(&mut self, number: usize) -> bool {
        let before = self.queue.len();
        self.queue.retain(|request| request.number != number);
        self.queue.len() < before
    }

    /// Returns the load report that the engine would send.
    pub(crate) fn load(&self) -> LoadReport {
        let time_per_token = self.time_per_token();
        LoadReport {
            queued_requests: self.queue.len() as u32,
            running_requests: self.running as u32,
            batch_limit_requests: self.model.batch_limit_requests as u32,
            time_per_token_ms: time_per_token.as_secs_f64() * 1e3,
            ..LoadReport::default()
        }
    }

    fn start_next(&mut self, now: Instant) -> Option<StartedRequest> {
        if self.running >= self.model.batch_limit_requests {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.running += 1;
        let is_hit = self.access_prefix(request.prefix);
        let prefill = if is_hit {
            self.model.prefill_hit
        } else {
            self.model.prefill_miss
        };
        let start = now.max(self.prefill_free_at);
        let first_token_at = start + prefill.mul_f64(self.slowdown);
        self.prefill_free_at = first_token_at;
        let generation_time = self.time_per_token().mul_f64(request.tokens as f64);
        Some(StartedRequest {
            request,
            first_token_at,
            finished_at: first_token_at + generation_time,
            is_hit,
        })
    }

    fn time_per_token(&self) -> Duration {
        let batch_fill = self.running as f64 / self.model.batch_limit_requests as f64;
        let batch_slowdown = 1.0 + FULL_BATCH_SLOWDOWN * batch_fill;
        self.model
            .time_per_token
            .mul_f64(batch_slowdown * self.slowdown)
    }

    /// Makes the prefix the most recently used one. Returns whether it was already cached.
    fn access_prefix(&mut self, prefix: usize) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        } else if self.cache.len() >= self.model.cached_prefixes {
            self.cache.remove(0);
        }
        self.cache.push(prefix);
        found.is_some()
    }
}
