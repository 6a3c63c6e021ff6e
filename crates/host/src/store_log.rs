//! Reads and writes of the booking logs in the platform's store.

use std::thread;

use sapphirerack_clients::{Category, Store};
use sapphirerack_policy::booking::{Event, Found, Segment, Written};

use crate::claims::Input;
use crate::{Error, Result};

/// Threads that make blocking calls to the store.
const STORE_THREADS: usize = 8;

/// Operation on a slot of a partition's log.
pub(crate) enum Task {
    Read { slot: u64 },
    Write { slot: u64, expected: u64, segment: Segment },
}

/// A task of one partition.
pub(crate) struct Job {
    pub partition: u32,
    pub task: Task,
}

/// Starts the threads that execute jobs; the results are sent to `inputs`.
pub(crate) fn spawn(
    store: &Store,
    jobs: &flume::Receiver<Job>,
    inputs: &flume::Sender<Input>,
) -> Result<()> {
    for _ in 0..STORE_THREADS {
        let (store, jobs, inputs) = (store.clone(), jobs.clone(), inputs.clone());
        let run = move || {
            for job in jobs {
                let event = execute(&store, job.partition, job.task);
                // The receiver lives as long as the process.
                let _ = inputs.send(Input::Log(job.partition, event));
            }
        };
        let builder = thread::Builder::new().name("booking-log".into());
        builder.spawn(run).map_err(|e| Error::io("start thread", "booking-log", e))?;
    }
    Ok(())
}

fn execute(store: &Store, partition: u32, task: Task) -> Event {
    match task {
        Task::Read { slot } => Event::Read(slot, read(store, &key(partition, slot))),
        Task::Write { slot, expected, segment } => {
            Event::Written(write(store, &key(partition, slot), expected, &segment))
        }
    }
}

fn key(partition: u32, slot: u64) -> String {
    format!("bookings/{partition}/{slot}")
}

fn read(store: &Store, key: &str) -> Found {
    match store.get(key) {
        Ok(None) => Found::Missing,
        Ok(Some(value)) => match postcard::from_bytes(&value.bytes) {
            Ok(segment) => Found::Value(value.version, segment),
            Err(e) => {
                log::error!("step=\"read bookings\" key={key} error={e}");
                Found::Failed
            }
        },
        Err(e) => {
            log::debug!("step=\"read bookings\" key={key} error={e}");
            Found::Failed
        }
    }
}

fn write(store: &Store, key: &str, expected: u64, segment: &Segment) -> Written {
    let bytes = match postcard::to_stdvec(segment) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!("step=\"write bookings\" key={key} error={e}");
            return Written::Unknown;
        }
    };
    match store.swap(key, expected, &bytes) {
        Ok(version) => Written::Stored(version),
        Err(e) if e.classify() == Category::Conflict => Written::Conflict,
        Err(e) => {
            log::debug!("step=\"write bookings\" key={key} error={e}");
            Written::Unknown
        }
    }
}
