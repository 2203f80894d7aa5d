//! Handle by which workers send messages to the control thread.

use comfreyway_core::ids::RequestId;
use quick_error::quick_error;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

use super::{ControlStatus, Progress, Submission};

quick_error! {
    /// The control thread has ended.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum ControlClosed {
        /// Its queue is closed.
        Closed {
            display("the control thread has ended")
        }
    }
}

/// One message from a worker.
#[derive(Debug)]
pub enum WorkerMessage {
    /// A request was received.
    Submit(Submission),
    /// A worker reports progress of its request.
    Progress {
        /// The request.
        id: RequestId,
        /// What was observed.
        progress: Progress,
    },
    /// This host is stopping: it hands its pools over and accepts no more requests.
    Stop,
    /// Send the state of this host to the channel.
    Status(oneshot::Sender<ControlStatus>),
}

/// Sends messages to the control thread. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: UnboundedSender<WorkerMessage>,
}

impl ControlHandle {
    /// Creates a handle that writes to the control thread's queue.
    #[must_use]
    pub fn new(tx: UnboundedSender<WorkerMessage>) -> Self {
        Self { tx }
    }

    /// Submits a request. Decisions arrive at `submission.decisions`.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub fn submit(&self, submission: Submission) -> Result<(), ControlClosed> {
        self.send(WorkerMessage::Submit(submission))
    }

    /// Reports progress of a request.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub fn report(&self, id: RequestId, progress: Progress) -> Result<(), ControlClosed> {
        self.send(WorkerMessage::Progress { id, progress })
    }

    /// Begins a graceful stop.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub fn stop(&self) -> Result<(), ControlClosed> {
        self.send(WorkerMessage::Stop)
    }

    /// Returns the state of this host.
    ///
    /// # Errors
    ///
    /// Fails if the control thread has ended.
    pub async fn status(&self) -> Result<ControlStatus, ControlClosed> {
        let (tx, rx) = oneshot::channel();
        self.send(WorkerMessage::Status(tx))?;
        rx.await.map_err(|_| ControlClosed::Closed)
    }

    fn send(&self, message: WorkerMessage) -> Result<(), ControlClosed> {
        self.tx.send(message).map_err(|_| ControlClosed::Closed)
    }
}
