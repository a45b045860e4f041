//! The instances of one process, and the answer to a line.

use crate::error::{InstanceError, LineError};
use crate::input::{Batch, Message, Start};
use crate::instance::Instance;
use crate::output::{Order, Output, Reply};
use crate::report::ReportLayout;
use degradation::DegradingDispatcher;
use dispatch_api::{Action, Micros};
use dispatcher_settings::operator::{OperatorConfig, Source};
use dispatcher_settings::settings_object::{decision_settings, micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The instances of one process; they share nothing.
#[derive(Default)]
pub struct Host {
    operator: Option<(OperatorConfig, Source)>,
    /// None for an instance that was killed, or that could not start.
    instances: BTreeMap<u64, Option<Instance>>,
}

impl Host {
    /// A host whose instances read their degradation levels from an operators' file, if one is
    /// given.
    pub fn new(operator: Option<(OperatorConfig, Source)>) -> Self {
        Host {
            operator,
            instances: BTreeMap::new(),
        }
    }

    /// Answers one line.
    ///
    /// # Errors
    /// The line isn't of the protocol. Nothing of it has an answer then.
    pub fn answer(&mut self, line: &str) -> Result<String, LineError> {
        let batch: Batch<'_> = serde_json::from_str(line)?;
        if !batch.now_ms.is_finite() {
            return Err(LineError::Clock);
        }
        let now = micros(batch.now_ms);
        let mut results = Vec::with_capacity(batch.dispatchers.len());
        for group in &batch.dispatchers {
            let result = self.handle_all(group.instance, now, &group.messages)?;
            results.push((group.instance, result));
        }
        let mut dispatchers = Vec::with_capacity(results.len());
        for (instance, result) in results {
            let orders = match (result, self.instances.get(&instance)) {
                (Err(error), _) => vec![Order::Panic {
                    text: error.to_string(),
                }],
                (Ok(actions), Some(Some(known))) => actions
                    .into_iter()
                    .filter_map(|action| known.order(action))
                    .collect(),
                (Ok(_), _) => vec![],
            };
            if !orders.is_empty() {
                dispatchers.push(Output { instance, orders });
            }
        }
        Ok(serde_json::to_string(&Reply {
            number: batch.number,
            dispatchers,
        })?)
    }

    /// Handles the messages for one instance: its actions, or the first of its errors.
    fn handle_all(
        &mut self,
        instance: u64,
        now: Micros,
        messages: &[Message<'_>],
    ) -> Result<Result<Vec<Action>, InstanceError>, LineError> {
        let mut actions = Vec::new();
        let mut first_error = None;
        for message in messages {
            if let Err(error) = self.handle(instance, now, message, &mut actions)? {
                first_error.get_or_insert(error);
            }
        }
        Ok(first_error.map_or(Ok(actions), Err))
    }

    /// The outer error is the line's, the inner one the instance's.
    fn handle(
        &mut self,
        instance: u64,
        now: Micros,
        message: &Message<'_>,
        actions: &mut Vec<Action>,
    ) -> Result<Result<(), InstanceError>, LineError> {
        if message.killed.is_some() {
            // Actions of the killed instance must not reach one that is started in the same batch.
            actions.clear();
            self.instances.insert(instance, None);
            return Ok(Ok(()));
        }
        if let Some(start) = &message.start {
            actions.clear();
            return Ok(self.start(instance, start));
        }
        match self.instances.get_mut(&instance) {
            Some(Some(known)) => Ok(known.handle(now, message, actions)),
            Some(None) => Ok(Ok(())),
            None => Err(LineError::NotStarted(instance)),
        }
    }

    fn start(&mut self, instance: u64, start: &Start) -> Result<(), InstanceError> {
        let dispatcher = self.dispatcher(start);
        let layout = ReportLayout::new(&start.facts);
        let (started, result) = match dispatcher {
            Ok(dispatcher) => (Some(Instance::new(dispatcher, layout)), Ok(())),
            Err(error) => (None, Err(error)),
        };
        self.instances.insert(instance, started);
        result
    }

    fn dispatcher(&self, start: &Start) -> Result<DegradingDispatcher, InstanceError> {
        let classes = start.facts.classes.iter().map(|class| class.name.clone());
        let classes: Vec<String> = classes.collect();
        let operator = self.operator.as_ref();
        let config = operator.map(|(operator, source)| operator.degradation(&classes, source));
        let config = config.transpose()?.flatten();
        let settings = decision_settings(&start.facts)?;
        Ok(DegradingDispatcher::new(
            settings,
            start.init_seed,
            config.map(Arc::new),
        )?)
    }
}
